#pragma once

#include "Fleet/Commands.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Client {

enum class template_fault_kind {
    Syntax,
    UnknownKey,
    Missing,
    WrongType
};

/// One thing that is wrong with a template file.
struct template_fault {
    template_fault_kind kind { template_fault_kind::Syntax };
    std::string key;
    int line { 0 };
};

std::string_view toText(template_fault_kind);

/// Reads an account template from TOML. Empty when there is any fault; `lastReasons` then has all.
std::optional<Fleet::publish_template> parseTemplate(
    std::string_view text, std::vector<template_fault>& lastReasons);

}
