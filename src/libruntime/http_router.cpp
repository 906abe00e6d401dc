#include "http_router_pvt.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <exception>
#include <utility>

namespace citroncrank {

void http_router::add(const std::string &method, const std::string &prefix, http_handler handler)
{
    m_prefixes[prefix][method] = std::move(handler);
}

http_reply http_router::route(const http_request &request) const
{
    const methods *const found = find(request.path);
    if (found == nullptr)
        return {.status = 404, .body = "not found\n"};
    const auto handler = found->find(request.method);
    if (handler == found->end()) {
        const auto allowed =
            absl::StrJoin(*found, ", ", [](std::string *out, const auto &entry) { absl::StrAppend(out, entry.first); });
        return {.status = 405, .body = "method not allowed\n", .headers = {{"Allow", allowed}}};
    }
    try {
        return handler->second(request);
    } catch (const std::exception &) {
        // The message of an exception may contain internal details, so it is not sent to the client.
        return {.status = 500, .body = "internal error\n"};
    }
}

const http_router::methods *http_router::find(std::string path) const
{
    while (!path.empty()) {
        const auto found = m_prefixes.find(path);
        if (found != m_prefixes.end())
            return &found->second;
        path.resize(path.rfind('/') == std::string::npos ? 0 : path.rfind('/'));
    }
    const auto root = m_prefixes.find("/");
    return root == m_prefixes.end() ? nullptr : &root->second;
}

void addStandardHandlers(const metrics_registry &registry, readiness_check notReadyReasons, http_router *router)
{
    router->add("GET", "/metrics", [&registry](const http_request &) {
        return http_reply{.contentType = "text/plain; version=0.0.4; charset=utf-8", .body = registry.render()};
    });
    router->add("GET", "/health", [](const http_request &) { return http_reply{.body = "ok\n"}; });
    router->add("GET", "/ready", [check = std::move(notReadyReasons)](const http_request &) {
        const auto reasons = check ? check() : std::vector<std::string>();
        if (reasons.empty())
            return http_reply{.body = "ready\n"};
        return http_reply{.status = 503, .body = absl::StrCat(absl::StrJoin(reasons, "\n"), "\n")};
    });
}

} // namespace citroncrank
