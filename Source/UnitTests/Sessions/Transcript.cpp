#include "Sessions/Transcript.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <regex>

namespace Sessions {

namespace {

    /// Replaces offsets, times, digests and identifiers that differ between runs.
    std::string withPlaceholders(std::string text)
    {
        struct replacement {
            std::regex pattern;
            const char* by;
        };
        static const std::vector<replacement> replacements {
            { std::regex(R"x(("offset":)\d+)x"), "$1N" },
            { std::regex(R"x(("offset": )\d+)x"), "$1N" },
            { std::regex(R"x(("at":)\d+)x"), "$1N" },
            { std::regex("\"(id|digest)\":\"[0-9a-f]{16}\""), "\"$1\":\"HEX\"" },
            { std::regex("\"(id|digest)\": \"[0-9a-f]{16}\""), "\"$1\": \"HEX\"" },
            { std::regex(R"(e\d-[0-9a-f]{16})"), "PROCESS" },
            { std::regex(R"(\b1[789]\d{11}\b)"), "WALLTIME" },
        };
        for (const auto& entry : replacements)
            text = std::regex_replace(text, entry.pattern, entry.by);
        return text;
    }

}

void transcript::say(const std::string& line)
{
    m_text += "# " + line + "\n";
}

void transcript::call(const std::string& what, const call_result& result)
{
    m_text += "> " + what + "\n< " + std::to_string(result.status) + " " + withPlaceholders(result.body) + "\n";
}

void transcript::client(const std::vector<std::string>& words, const std::string& output, int exitCode)
{
    m_text += "$ loftctl";
    for (const auto& word : words)
        m_text += " " + word;
    m_text += "\n" + withPlaceholders(output) + "(exit " + std::to_string(exitCode) + ")\n";
}

void transcript::compare(const std::string& name) const
{
    const std::string path = std::string(LOFT_GOLDEN_DIR) + "/" + name + ".txt";
    if (std::getenv("LOFT_GOLDEN_WRITE")) {
        std::ofstream(path) << m_text;
        return;
    }
    CHECK(m_text == readFile(path));
}

}
