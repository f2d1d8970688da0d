#pragma once

#include <string>

struct worker_options {
    std::string id;
    int port { 0 };
    /// Port of the driver, which registers the worker in the store.
    int driverPort { 0 };
};

int runWorker(const worker_options&);
