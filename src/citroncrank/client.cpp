#include "client.h"

#include "citroncrank/config_document.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <chrono>
#include <fstream>
#include <iostream>
#include <numeric>
#include <sstream>

namespace citroncrank {

namespace json = boost::json;

const char *toString(exit_code code)
{
    switch (code) {
    case exit_code::ok:
        return "ok";
    case exit_code::usage:
        return "usage";
    case exit_code::invalid_input:
        return "invalid_input";
    case exit_code::conflict:
        return "conflict";
    case exit_code::unreachable:
        return "unreachable";
    case exit_code::unknown_outcome:
        return "unknown_outcome";
    case exit_code::not_found:
        return "not_found";
    }
    return "unknown";
}

time_point steadyNow()
{
    return time_point(std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

wall_time wallNow()
{
    return std::chrono::time_point_cast<duration>(std::chrono::system_clock::now());
}

exit_code succeed(const client &client, const json::value &result, const std::string &text)
{
    std::cout << (client.isJson() ? json::serialize(result) + "\n" : text) << std::flush;
    return exit_code::ok;
}

exit_code fail(const client &client, const client_failure &failure)
{
    json::object result{{"error", toString(failure.code)}, {"message", failure.message}};
    for (const auto &detail : failure.details)
        result[detail.key()] = detail.value();
    if (client.isJson())
        std::cerr << json::serialize(result) << "\n";
    else
        std::cerr << "citroncrank: " << failure.message << "\n";
    return failure.code;
}

std::optional<host_address> requiredAddress(const std::string &text, const std::string &option,
                                            client_failure *lastReason)
{
    const auto address = parseHostAddress(text);
    if (text.empty())
        *lastReason = {exit_code::usage,
                       absl::StrCat("this command needs --", option,
                                    " IPv4:PORT or the environment variable CITRONCRANK_",
                                    absl::AsciiStrToUpper(option)),
                       {}};
    else if (!address)
        *lastReason = {exit_code::usage, absl::StrCat("--", option, " is not IPv4:PORT: ", text), {}};
    return address;
}

std::unique_ptr<object_store> openPlatform(const client &client, client_failure *lastReason)
{
    const auto address = requiredAddress(client.platform, "platform", lastReason);
    if (!address)
        return nullptr;
    return std::make_unique<http_object_store>(http_object_store_settings{*address, client.deadline()});
}

client_failure platformFailure(platform_failure reason, const std::string &what)
{
    switch (reason) {
    case platform_failure::not_found:
        return {exit_code::not_found, what + " does not exist", {}};
    case platform_failure::conflict:
        return {exit_code::conflict, what + " was changed concurrently", {}};
    case platform_failure::rejected:
        return {exit_code::invalid_input, "the platform rejected the request for " + what, {}};
    case platform_failure::unavailable:
    case platform_failure::unknown_outcome:
    case platform_failure::history_gone:
        break;
    }
    return {exit_code::unreachable, "the platform is not reachable; cannot access " + what, {}};
}

std::optional<std::string> readFile(const std::string &path, client_failure *lastReason)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (file)
        text << file.rdbuf();
    if (!file) {
        *lastReason = {exit_code::invalid_input, "cannot read the file " + path, {}};
        return std::nullopt;
    }
    return text.str();
}

} // namespace citroncrank
