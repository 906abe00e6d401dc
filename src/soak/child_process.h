#pragma once

/// @file
/// Child process of the soak. Signals are sent to its process id only; it is killed when the soak ends.

#include <optional>
#include <string>
#include <sys/types.h>
#include <system_error>
#include <vector>

namespace citroncrank::soak {

/// Exit status of a process.
struct process_exit
{
    int exitCode = 0; ///< Valid if `signal` is 0.
    int signal = 0;   ///< Signal that terminated the process; 0 if it exited.
    auto operator<=>(const process_exit &) const = default;
};

class child_process
{
public:
    child_process() = default;
    /// Kills the process if it is still running.
    ~child_process();
    child_process(child_process &&other) noexcept;
    child_process &operator=(child_process &&other) noexcept;

    /// Starts a program; its output is appended to `logFile`. Returns false and stores the cause.
    bool start(const std::vector<std::string> &command, const std::string &logFile, std::error_code *lastReason);
    bool isRunning() const { return m_pid > 0; }
    pid_t pid() const { return m_pid; }
    /// Does nothing if the process has ended.
    void sendSignal(int signal) const;
    /// Returns the exit status once. Nullopt while the process runs and after its status was returned.
    std::optional<process_exit> pollExit();

private:
    pid_t m_pid = -1;
};

} // namespace citroncrank::soak
