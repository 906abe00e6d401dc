#include "upgrade.h"

#include "generated/upgrade_state_generated.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <array>
#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

namespace citroncrank {

namespace {

/// The kernel lets an unprivileged process enlarge a pipe up to this size by default.
constexpr std::size_t kPipeBytes = 1024 * 1024;
/// Allows 64 MiB of state; an agent of the planned size needs a few megabytes.
constexpr std::size_t kMaxPipes = 64;

std::error_code systemError()
{
    return {errno, std::system_category()};
}

void closeAll(const std::vector<int> &descriptors)
{
    for (const int descriptor : descriptors)
        ::close(descriptor);
}

/// Fills a pipe with at most kPipeBytes of `bytes` and returns its read end, or -1 with errno set.
int fillPipe(std::string_view bytes)
{
    std::array<int, 2> ends{};
    if (::pipe2(ends.data(), O_CLOEXEC | O_NONBLOCK) != 0)
        return -1;
    ::fcntl(ends[0], F_SETFD, 0);
    bool complete = ::fcntl(ends[1], F_SETPIPE_SZ, int(kPipeBytes)) >= int(bytes.size());
    while (complete && !bytes.empty()) {
        const auto written = ::write(ends[1], bytes.data(), bytes.size());
        complete = written > 0;
        if (complete)
            bytes.remove_prefix(std::size_t(written));
    }
    const int error = errno;
    ::close(ends[1]);
    if (complete)
        return ends[0];
    ::close(ends[0]);
    errno = error;
    return -1;
}

} // namespace

std::string encodeUpgradeState(const upgrade_state &state)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto createBytes = [&builder](const std::string &text) {
        return builder.CreateVector(reinterpret_cast<const std::uint8_t *>(text.data()), text.size());
    };
    std::vector<flatbuffers::Offset<wire::SavedStream>> streams;
    for (const auto &item : state.streams) {
        const auto unsent = createBytes(item.stream.unsent);
        streams.push_back(wire::CreateSavedStream(builder, item.flow.high, item.flow.low, item.stream.descriptor,
                                                  unsent, item.stream.finishRequested, item.stream.shutdownDone,
                                                  item.stream.ended, item.balancer.ip, item.balancer.port));
    }
    const auto core = createBytes(state.core);
    builder.Finish(wire::CreateUpgradeState(builder, core, builder.CreateVector(streams), state.draining));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

std::optional<upgrade_state> decodeUpgradeState(const std::string &bytes)
{
    constexpr std::size_t kMaxTables = 10'000'000;
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size(), 8, kMaxTables);
    if (!wire::VerifyUpgradeStateBuffer(verifier))
        return std::nullopt;
    const auto readBytes = [](const flatbuffers::Vector<std::uint8_t> *source) {
        return source == nullptr ? std::string()
                                 : std::string(reinterpret_cast<const char *>(source->data()), source->size());
    };
    const auto *source = wire::GetUpgradeState(bytes.data());
    upgrade_state state{readBytes(source->core()), {}, source->draining()};
    if (source->streams() == nullptr)
        return state;
    for (const auto *item : *source->streams())
        state.streams.push_back({{item->flow_high(), item->flow_low()},
                                 {0, item->descriptor(), readBytes(item->unsent()), item->finish_wanted(),
                                  item->shutdown_done(), item->ended()},
                                 {item->balancer_ip(), item->balancer_port()}});
    return state;
}

std::optional<std::vector<int>> writeToPipes(const std::string &bytes, std::error_code *lastReason)
{
    std::vector<int> descriptors;
    for (std::size_t offset = 0; offset < bytes.size(); offset += kPipeBytes) {
        const int descriptor =
            descriptors.size() < kMaxPipes ? fillPipe(std::string_view(bytes).substr(offset, kPipeBytes)) : -1;
        if (descriptor < 0) {
            *lastReason =
                descriptors.size() < kMaxPipes ? systemError() : std::make_error_code(std::errc::file_too_large);
            closeAll(descriptors);
            return std::nullopt;
        }
        descriptors.push_back(descriptor);
    }
    return descriptors;
}

std::optional<std::string> readFromPipes(const std::vector<int> &descriptors)
{
    std::string bytes;
    bool complete = true;
    std::array<char, 65536> buffer{};
    for (const int descriptor : descriptors) {
        for (;;) {
            const auto count = ::read(descriptor, buffer.data(), buffer.size());
            complete = complete && count >= 0;
            if (count <= 0)
                break;
            bytes.append(buffer.data(), std::size_t(count));
        }
    }
    closeAll(descriptors);
    if (!complete)
        return std::nullopt;
    return bytes;
}

// Asio opens its sockets without close-on-exec; a listener that stays open would keep its address in use.
std::error_code replaceProgram(const std::string &program, const std::string &settingsFile,
                               const std::vector<int> &pipes, const std::vector<int> &streams)
{
    std::vector<std::string> argumentTexts{program, "--settings", settingsFile, "--resume", absl::StrJoin(pipes, ",")};
    std::vector<char *> arguments;
    arguments.reserve(argumentTexts.size() + 1);
    for (auto &text : argumentTexts)
        arguments.push_back(text.data());
    arguments.push_back(nullptr);
    constexpr unsigned kFirstDescriptor = 3;
    bool prepared = ::close_range(kFirstDescriptor, ~0U, CLOSE_RANGE_CLOEXEC) == 0;
    for (const auto *kept : {&pipes, &streams}) {
        for (const int descriptor : *kept)
            prepared = prepared && ::fcntl(descriptor, F_SETFD, 0) == 0;
    }
    if (prepared)
        ::execv(program.c_str(), arguments.data());
    const auto error = systemError();
    closeAll(pipes);
    return error;
}

std::optional<std::vector<int>> parseDescriptors(const std::string &text)
{
    std::vector<int> descriptors;
    for (const auto &part : std::vector<std::string>(absl::StrSplit(text, ','))) {
        int descriptor = -1;
        if (!absl::SimpleAtoi(part, &descriptor) || descriptor < 3)
            return std::nullopt;
        descriptors.push_back(descriptor);
    }
    return descriptors;
}

} // namespace citroncrank
