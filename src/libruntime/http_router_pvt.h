#pragma once

#include "citroncrank/http_endpoint.h"

#include <functional>
#include <map>
#include <string>

namespace citroncrank {

/// Selects the handler for a request. Does no I/O, so that it can be tested without sockets.
class http_router
{
public:
    void add(const std::string &method, const std::string &prefix, http_handler handler);

    /// Returns status 404 for unknown paths, 405 for methods without a handler and 500 if the handler throws.
    http_reply route(const http_request &request) const;

private:
    using methods = std::map<std::string, http_handler>;

    const methods *find(std::string path) const;

    std::map<std::string, methods, std::less<>> m_prefixes;
};

/// Adds `/metrics`, `/ready` and `/health`.
void addStandardHandlers(const metrics_registry &registry, readiness_check notReadyReasons, http_router *router);

} // namespace citroncrank
