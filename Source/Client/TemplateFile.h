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

/// One fault in a template file.
struct template_fault {
    template_fault_kind kind { template_fault_kind::Syntax };
    /// The key concerned; a description for `Syntax`.
    std::string key;
    int line { 0 };
};

std::string_view toText(template_fault_kind);

/// Parses an account template from TOML. Empty on any fault; `lastReasons` then lists all of them.
std::optional<Fleet::publish_template> parseTemplate(
    std::string_view text, std::vector<template_fault>& lastReasons);

}
