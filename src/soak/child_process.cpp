#include "child_process.h"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace citroncrank::soak {

namespace {

constexpr int kExecFailed = 127;

[[noreturn]] void runProgram(char **arguments, int log)
{
    // Otherwise the processes would outlive a soak that is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    // A SIGHUP that arrives before main() installs its handler would terminate the program. The platform sends SIGHUP
    // only to running programs, so the soak must not end one by a reload during its start.
    ::signal(SIGHUP, SIG_IGN);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::execv(arguments[0], arguments);
    ::_exit(kExecFailed);
}

} // namespace

child_process::~child_process()
{
    if (!isRunning())
        return;
    sendSignal(SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
}

child_process::child_process(child_process &&other) noexcept
    : m_pid(std::exchange(other.m_pid, -1))
{}

child_process &child_process::operator=(child_process &&other) noexcept
{
    std::swap(m_pid, other.m_pid);
    return *this;
}

bool child_process::start(const std::vector<std::string> &command, const std::string &logFile,
                          std::error_code *lastReason)
{
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string &word : command)
        arguments.push_back(const_cast<char *>(word.c_str()));
    arguments.push_back(nullptr);
    constexpr mode_t kLogMode = 0644;
    const int log = ::open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kLogMode);
    const pid_t pid = log < 0 ? -1 : ::fork();
    if (pid == 0)
        runProgram(arguments.data(), log);
    if (pid < 0)
        *lastReason = {errno, std::generic_category()};
    if (log >= 0)
        ::close(log);
    m_pid = pid;
    return pid > 0;
}

void child_process::sendSignal(int signal) const
{
    if (isRunning())
        ::kill(m_pid, signal);
}

std::optional<process_exit> child_process::pollExit()
{
    int status = 0;
    if (!isRunning() || ::waitpid(m_pid, &status, WNOHANG) != m_pid)
        return std::nullopt;
    m_pid = -1;
    if (WIFSIGNALED(status))
        return process_exit{0, WTERMSIG(status)};
    return process_exit{WEXITSTATUS(status), 0};
}

} // namespace citroncrank::soak
