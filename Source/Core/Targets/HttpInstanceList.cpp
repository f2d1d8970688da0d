#include "Targets/HttpInstanceList.h"

#include "Common/JsonFields.h"

#include <httplib.h>

namespace Targets {

namespace {

    constexpr int httpOk = 200;

    /// Entry of the list as the platform sends it.
    struct list_entry {
        Common::instance_id id;
        std::string address;
        Common::data_centre_id dataCentre;
        Common::rack_id rack;
        Common::core_count cores;
        Common::megabytes memoryMb;
        Common::accelerator_count accelerators;
        Common::slot_count slots;
        bool leaving { false };
    };

    void from_json(const Common::json& in, list_entry& entry)
    {
        in.at("id").get_to(entry.id);
        in.at("address").get_to(entry.address);
        in.at("dataCentre").get_to(entry.dataCentre);
        in.at("rack").get_to(entry.rack);
        in.at("cores").get_to(entry.cores);
        in.at("memoryMb").get_to(entry.memoryMb);
        in.at("accelerators").get_to(entry.accelerators);
        in.at("slots").get_to(entry.slots);
        in.at("leaving").get_to(entry.leaving);
    }

}

http_instance_list::http_instance_list(const Common::endpoint& address, Common::millis timeout)
    : m_client(std::make_unique<httplib::Client>(address.host, address.port))
{
    m_client->set_keep_alive(true);
    m_client->set_connection_timeout(timeout);
    m_client->set_read_timeout(timeout);
}

http_instance_list::~http_instance_list() = default;

std::optional<std::vector<listed_instance>> http_instance_list::fetch()
{
    m_lastReason = list_failure::NoAnswer;
    const auto response = m_client->Get("/instances");
    if (!response || response->status != httpOk)
        return std::nullopt;
    const auto entries = Common::readJson<std::vector<list_entry>>(response->body);
    if (!entries)
        return std::nullopt;
    std::vector<listed_instance> instances;
    for (const list_entry& entry : *entries) {
        const auto address = Common::parseEndpoint(entry.address);
        if (!address)
            continue;
        instances.push_back({ .instance = entry.id,
            .address = *address,
            .dataCentre = entry.dataCentre,
            .rack = entry.rack,
            .capacity = { .cores = entry.cores, .memory = entry.memoryMb, .accelerators = entry.accelerators },
            .slots = entry.slots,
            .leaving = entry.leaving });
    }
    m_lastReason = list_failure::None;
    return instances;
}

}
