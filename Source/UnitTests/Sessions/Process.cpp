#include "Sessions/Process.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace Sessions {

namespace {

    std::vector<char*> pointersTo(const std::vector<std::string>& words)
    {
        std::vector<char*> pointers;
        for (const auto& word : words)
            pointers.push_back(const_cast<char*>(word.c_str()));
        pointers.push_back(nullptr);
        return pointers;
    }

    std::vector<std::string> environmentWith(const std::vector<std::string>& added)
    {
        std::vector<std::string> all;
        for (char** entry = environ; *entry; ++entry)
            all.emplace_back(*entry);
        all.insert(all.end(), added.begin(), added.end());
        return all;
    }

}

child_process::child_process(const std::vector<std::string>& words, const std::string& outputFile,
    const std::vector<std::string>& environment)
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr mode_t readWrite = 0600;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, readWrite);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const auto all = environmentWith(environment);
    const int failed = posix_spawn(
        &m_process, words[0].c_str(), &actions, nullptr, pointersTo(words).data(), pointersTo(all).data());
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0)
        throw std::runtime_error("can't start " + words[0]);
}

child_process::~child_process()
{
    if (m_process < 0)
        return;
    kill(m_process, SIGKILL);
    wait();
}

void child_process::signal(int number) const
{
    if (m_process >= 0)
        kill(m_process, number);
}

int child_process::wait()
{
    if (m_process < 0)
        return 0;
    int status = 0;
    waitpid(m_process, &status, 0);
    m_process = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

std::string readFile(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

}
