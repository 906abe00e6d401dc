#pragma once

/// @file
/// A process that the soak started. It gets signals by its id only, and ends with the soak.

#include <optional>
#include <string>
#include <sys/types.h>
#include <system_error>
#include <vector>

namespace citroncrank::soak {

/// How a process ended.
struct process_end
{
    int exitCode = 0; ///< Valid if `signal` is 0.
    int signal = 0;   ///< That ended it.
    auto operator<=>(const process_end &) const = default;
};

class child_process
{
public:
    child_process() = default;
    /// Kills the process if it runs.
    ~child_process();
    child_process(child_process &&other) noexcept;
    child_process &operator=(child_process &&other) noexcept;

    /// Starts a program; its output is appended to `logFile`. Returns false and stores the cause.
    bool start(const std::vector<std::string> &command, const std::string &logFile, std::error_code *lastReason);
    bool isRunning() const { return m_pid > 0; }
    pid_t pid() const { return m_pid; }
    /// Does nothing if the process has ended.
    void send(int signal) const;
    /// The end of the process, once. Nullopt while it runs and after its end was told.
    std::optional<process_end> takeEnd();

private:
    pid_t m_pid = -1;
};

} // namespace citroncrank::soak
