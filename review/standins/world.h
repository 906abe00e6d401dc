// Stand-ins for the scripts of this review: the platform's store, routers, clients and servers, and the start of the
// project's own programs as separate processes. One thread, one poll loop, the real clock, loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <netinet/in.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <tuple>
#include <unistd.h>
#include <vector>

namespace world {

using Clock = std::chrono::steady_clock;

inline double now()
{
    static const Clock::time_point start = Clock::now();
    return std::chrono::duration<double>(Clock::now() - start).count();
}

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

struct Address
{
    std::string ip;
    std::uint16_t port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
    bool operator<(const Address &o) const { return std::tie(ip, port) < std::tie(o.ip, o.port); }
    bool operator==(const Address &o) const { return ip == o.ip && port == o.port; }
};

inline sockaddr_in toSockaddr(const Address &a)
{
    sockaddr_in s{};
    s.sin_family = AF_INET;
    s.sin_port = htons(a.port);
    inet_pton(AF_INET, a.ip.c_str(), &s.sin_addr);
    return s;
}

/// The record of the case: what was sent, answered and run.
class Record
{
public:
    void open(const std::string &path) { m_file.open(path); }
    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        char text[1024];
        va_list args;
        va_start(args, format);
        vsnprintf(text, sizeof text, format, args);
        va_end(args);
        char stamped[1100];
        snprintf(stamped, sizeof stamped, "%9.3f s  %s", now(), text);
        m_file << stamped << std::endl;
        std::cout << stamped << std::endl;
    }

private:
    std::ofstream m_file;
};
inline Record record;

/// Poll loop with timers.
class Loop
{
public:
    void watch(int fd, short events, std::function<void(short)> handler)
    {
        m_watched[fd] = {events, std::move(handler)};
    }
    void setEvents(int fd, short events) { m_watched.at(fd).events = events; }
    void forget(int fd) { m_watched.erase(fd); }
    void after(double seconds, std::function<void()> work) { m_timers.emplace(now() + seconds, std::move(work)); }
    void runUntil(double end)
    {
        while (now() < end)
            step(end);
    }
    /// Runs until `isDone` or for `seconds` at most. Returns whether it became done.
    bool runUntil(const std::function<bool()> &isDone, double seconds)
    {
        const double end = now() + seconds;
        while (!isDone()) {
            if (now() >= end)
                return false;
            step(std::min(end, now() + 0.005));
        }
        return true;
    }
    void run(double seconds) { runUntil(now() + seconds); }

private:
    struct Watched
    {
        short events;
        std::function<void(short)> handler;
    };

    void step(double end)
    {
        double until = end;
        if (!m_timers.empty())
            until = std::min(until, m_timers.begin()->first);
        std::vector<pollfd> fds;
        for (const auto &[fd, w] : m_watched)
            fds.push_back({fd, w.events, 0});
        const int wait = std::max(0, int((until - now()) * 1000) + (until > now() ? 1 : 0));
        poll(fds.data(), fds.size(), wait);
        for (const pollfd &p : fds) {
            if (p.revents == 0)
                continue;
            const auto found = m_watched.find(p.fd);
            if (found == m_watched.end())
                continue;
            const auto handler = found->second.handler;
            handler(p.revents);
        }
        while (!m_timers.empty() && m_timers.begin()->first <= now()) {
            const auto work = std::move(m_timers.begin()->second);
            m_timers.erase(m_timers.begin());
            work();
        }
    }

    std::map<int, Watched> m_watched;
    std::multimap<double, std::function<void()>> m_timers;
};
inline Loop loop;

inline int openUdp(const Address &at)
{
    const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in s = toSockaddr(at);
    if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr *>(&s), sizeof s) != 0) {
        std::cerr << "cannot bind " << at.text() << ": " << strerror(errno) << "\n";
        exit(2);
    }
    return fd;
}

inline int listenTcp(const Address &at)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const sockaddr_in s = toSockaddr(at);
    if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr *>(&s), sizeof s) != 0 || listen(fd, 128) != 0) {
        std::cerr << "cannot listen at " << at.text() << ": " << strerror(errno) << "\n";
        exit(2);
    }
    return fd;
}

// ---------------------------------------------------------------- HTTP

struct HttpRequest
{
    std::string method, path, query, body;
};
struct HttpReply
{
    int status = 200;
    std::string body = "{}";
};

inline std::string lower(std::string s)
{
    for (char &c : s)
        c = char(tolower(c));
    return s;
}

/// Takes one message (head and body) from `buffer`. Returns false if it is not complete yet.
inline bool takeMessage(std::string *buffer, std::string *head, std::string *body)
{
    const auto end = buffer->find("\r\n\r\n");
    if (end == std::string::npos)
        return false;
    const std::string h = buffer->substr(0, end + 2);
    std::size_t length = 0;
    const auto at = lower(h).find("\r\ncontent-length:");
    if (at != std::string::npos)
        length = std::stoul(h.substr(at + 17));
    if (buffer->size() < end + 4 + length)
        return false;
    *head = h;
    *body = buffer->substr(end + 4, length);
    buffer->erase(0, end + 4 + length);
    return true;
}

/// HTTP server. A handler replies at once or later.
class HttpServer
{
public:
    using Respond = std::function<void(HttpReply)>;
    using Handler = std::function<void(const HttpRequest &, Respond)>;

    HttpServer(const Address &at, std::string extraHeaders, Handler handler)
        : m_extra(std::move(extraHeaders))
        , m_handler(std::move(handler))
        , m_listener(listenTcp(at))
    {
        loop.watch(m_listener, POLLIN, [this](short) {
            for (;;) {
                const int fd = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
                if (fd < 0)
                    return;
                auto c = std::make_shared<Connection>();
                c->fd = fd;
                m_connections[fd] = c;
                loop.watch(fd, POLLIN, [this, c](short) { onReadable(c); });
            }
        });
    }
    ~HttpServer() { close(); }
    void close()
    {
        if (m_listener < 0)
            return;
        loop.forget(m_listener);
        ::close(m_listener);
        m_listener = -1;
        while (!m_connections.empty())
            drop(m_connections.begin()->second);
    }

private:
    struct Connection
    {
        int fd = -1;
        std::string in;
    };
    void drop(const std::shared_ptr<Connection> &c)
    {
        if (c->fd < 0)
            return;
        m_connections.erase(c->fd);
        loop.forget(c->fd);
        ::close(c->fd);
        c->fd = -1;
    }
    void onReadable(const std::shared_ptr<Connection> &c)
    {
        char bytes[65536];
        const ssize_t n = recv(c->fd, bytes, sizeof bytes, 0);
        if (n == 0 || (n < 0 && errno != EAGAIN)) {
            drop(c);
            return;
        }
        if (n > 0)
            c->in.append(bytes, std::size_t(n));
        std::string head, body;
        while (c->fd >= 0 && takeMessage(&c->in, &head, &body)) {
            HttpRequest r;
            const auto sp = head.find(' ');
            const auto sp2 = head.find(' ', sp + 1);
            r.method = head.substr(0, sp);
            const std::string target = head.substr(sp + 1, sp2 - sp - 1);
            const auto mark = target.find('?');
            r.path = target.substr(0, mark);
            r.query = mark == std::string::npos ? "" : target.substr(mark + 1);
            r.body = body;
            m_handler(r, [this, c](HttpReply reply) { send(c, reply); });
        }
    }
    void send(const std::shared_ptr<Connection> &c, const HttpReply &reply)
    {
        if (c->fd < 0)
            return;
        std::string out = "HTTP/1.1 " + std::to_string(reply.status) + " X\r\nContent-Type: application/json\r\n"
                          + m_extra + "Content-Length: " + std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body;
        // Bodies are small; a loopback socket takes them at once.
        std::size_t at = 0;
        while (at < out.size()) {
            const ssize_t n = ::send(c->fd, out.data() + at, out.size() - at, MSG_NOSIGNAL);
            if (n <= 0)
                break;
            at += std::size_t(n);
        }
        if (at < out.size())
            drop(c);
    }

    std::string m_extra;
    Handler m_handler;
    int m_listener;
    std::map<int, std::shared_ptr<Connection>> m_connections;
};

/// One HTTP call on a connection of its own. `done` gets the status, or 0 if there was no answer within `timeout`.
inline void httpCall(const Address &to, const std::string &method, const std::string &target, const std::string &body,
                     double timeout, std::function<void(int)> done)
{
    struct Call
    {
        int fd = -1;
        std::string out, in;
        bool isDone = false;
        std::function<void(int)> done;
        void finish(int status)
        {
            if (isDone)
                return;
            isDone = true;
            loop.forget(fd);
            ::close(fd);
            done(status);
        }
    };
    auto c = std::make_shared<Call>();
    c->done = std::move(done);
    c->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    c->out = method + " " + target + " HTTP/1.1\r\nHost: " + to.text()
             + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
             + body;
    const sockaddr_in s = toSockaddr(to);
    if (connect(c->fd, reinterpret_cast<const sockaddr *>(&s), sizeof s) != 0 && errno != EINPROGRESS) {
        const int fd = c->fd;
        c->isDone = true;
        ::close(fd);
        loop.after(0, [c] { c->done(0); });
        return;
    }
    loop.watch(c->fd, POLLOUT | POLLIN, [c](short events) {
        if (events & (POLLERR | POLLHUP | POLLNVAL)) {
            if (!(events & POLLIN)) {
                c->finish(0);
                return;
            }
        }
        if ((events & POLLOUT) && !c->out.empty()) {
            const ssize_t n = ::send(c->fd, c->out.data(), c->out.size(), MSG_NOSIGNAL);
            if (n < 0 && errno != EAGAIN) {
                c->finish(0);
                return;
            }
            if (n > 0)
                c->out.erase(0, std::size_t(n));
            if (c->out.empty())
                loop.setEvents(c->fd, POLLIN);
        }
        if (events & POLLIN) {
            char bytes[65536];
            const ssize_t n = recv(c->fd, bytes, sizeof bytes, 0);
            if (n == 0 || (n < 0 && errno != EAGAIN)) {
                c->finish(0);
                return;
            }
            if (n > 0)
                c->in.append(bytes, std::size_t(n));
            std::string head, text;
            if (takeMessage(&c->in, &head, &text))
                c->finish(std::stoi(head.substr(head.find(' ') + 1)));
        }
    });
    loop.after(timeout, [c] { c->finish(0); });
}

// ---------------------------------------------------------------- the store

/// Returns the text of the value of a top-level key of a JSON object, or an empty string.
inline std::string jsonField(const std::string &object, const std::string &key)
{
    int depth = 0;
    bool inString = false;
    std::size_t keyStart = 0;
    std::string lastString;
    for (std::size_t i = 0; i < object.size(); ++i) {
        const char c = object[i];
        if (inString) {
            if (c == '\\')
                ++i;
            else if (c == '"') {
                inString = false;
                lastString = object.substr(keyStart, i - keyStart);
            }
            continue;
        }
        if (c == '"') {
            inString = true;
            keyStart = i + 1;
        } else if (c == '{' || c == '[') {
            ++depth;
        } else if (c == '}' || c == ']') {
            --depth;
        } else if (c == ':' && depth == 1 && lastString == key) {
            std::size_t from = i + 1;
            while (from < object.size() && isspace(object[from]))
                ++from;
            int d = 0;
            bool s = false;
            std::size_t j = from;
            for (; j < object.size(); ++j) {
                const char e = object[j];
                if (s) {
                    if (e == '\\')
                        ++j;
                    else if (e == '"')
                        s = false;
                    continue;
                }
                if (e == '"')
                    s = true;
                else if (e == '{' || e == '[')
                    ++d;
                else if (e == '}' || e == ']') {
                    if (d == 0)
                        break;
                    --d;
                } else if (e == ',' && d == 0)
                    break;
            }
            return object.substr(from, j - from);
        }
    }
    return {};
}

inline std::string unquote(const std::string &s)
{
    return s.size() >= 2 && s.front() == '"' ? s.substr(1, s.size() - 2) : s;
}

/// The platform's store: objects by kind and name, revisions, conditional writes, lists and watches.
class Store
{
public:
    explicit Store(const Address &at)
        : m_server(at, "Store-Era: 1\r\n",
                   [this](const HttpRequest &r, HttpServer::Respond respond) { handle(r, std::move(respond)); })
    {}

    /// Serves the same store at an address of one machine, and refuses each call with 503 while `isAway` is set.
    void listenAlso(const Address &at, const bool *isAway)
    {
        m_others.push_back(std::make_unique<HttpServer>(
            at, "Store-Era: 1\r\n", [this, isAway](const HttpRequest &r, HttpServer::Respond respond) {
                if (*isAway)
                    respond({503, "{}"});
                else
                    handle(r, std::move(respond));
            }));
    }
    /// A write of the operator.
    void put(const std::string &kind, const std::string &name, const std::string &spec)
    {
        m_objects[{kind, name}] = {++m_revision, spec};
        m_events.push_back({m_revision, kind, name, false, objectText(kind, name)});
        wakeWatches();
    }
    bool has(const std::string &kind, const std::string &name) const { return m_objects.count({kind, name}) > 0; }

private:
    struct Object
    {
        std::uint64_t revision;
        std::string spec;
    };
    struct Event
    {
        std::uint64_t revision;
        std::string kind, name;
        bool deleted;
        std::string object;
    };
    struct Watch
    {
        std::string kind;
        std::uint64_t from;
        HttpServer::Respond respond;
        bool isDone = false;
    };

    std::string objectText(const std::string &kind, const std::string &name) const
    {
        const Object &o = m_objects.at({kind, name});
        return "{\"meta\":{\"name\":\"" + name + "\",\"revision\":" + std::to_string(o.revision)
               + ",\"created\":1,\"finalizers\":[],\"deleting\":false},\"spec\":" + o.spec + ",\"status\":null}";
    }
    static std::string param(const std::string &query, const std::string &key)
    {
        std::istringstream in(query);
        std::string item;
        while (std::getline(in, item, '&')) {
            if (item.rfind(key + "=", 0) == 0)
                return item.substr(key.size() + 1);
        }
        return {};
    }
    std::string eventsSince(const std::string &kind, std::uint64_t from, bool *any) const
    {
        std::string events;
        for (const Event &e : m_events) {
            if (e.kind != kind || e.revision <= from)
                continue;
            events += std::string(events.empty() ? "" : ",") + "{\"object\":" + e.object
                      + ",\"deleted\":" + (e.deleted ? "true" : "false") + "}";
        }
        *any = !events.empty();
        return "{\"events\":[" + events + "],\"as-of\":" + std::to_string(m_revision) + "}";
    }
    void wakeWatches()
    {
        for (const auto &w : m_watches) {
            bool any = false;
            const std::string text = w->isDone ? "" : eventsSince(w->kind, w->from, &any);
            if (!any)
                continue;
            w->isDone = true;
            w->respond({200, text});
        }
        std::erase_if(m_watches, [](const auto &w) { return w->isDone; });
    }
    void handle(const HttpRequest &r, HttpServer::Respond respond)
    {
        const std::string prefix = "/-/objects/";
        if (r.path.rfind(prefix, 0) != 0) {
            respond({404, "{}"});
            return;
        }
        const std::string rest = r.path.substr(prefix.size());
        const auto slash = rest.find('/');
        const std::string kind = rest.substr(0, slash);
        const std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
        if (r.method == "GET" && name.empty() && !param(r.query, "watch").empty()) {
            auto w = std::make_shared<Watch>(Watch{kind, std::stoull(param(r.query, "watch")), respond});
            bool any = false;
            const std::string text = eventsSince(kind, w->from, &any);
            const std::string wait = param(r.query, "wait-ms");
            if (any || wait.empty() || wait == "0") {
                respond({200, text});
                return;
            }
            m_watches.push_back(w);
            loop.after(std::stod(wait) / 1000, [this, w] {
                if (w->isDone)
                    return;
                w->isDone = true;
                bool ignored = false;
                w->respond({200, eventsSince(w->kind, w->from, &ignored)});
                std::erase_if(m_watches, [](const auto &x) { return x->isDone; });
            });
            return;
        }
        if (r.method == "GET" && name.empty()) {
            std::string items;
            for (const auto &[key, object] : m_objects) {
                if (key.first == kind)
                    items += std::string(items.empty() ? "" : ",") + objectText(kind, key.second);
            }
            respond(
                {200, "{\"items\":[" + items + "],\"has-more\":false,\"as-of\":" + std::to_string(m_revision) + "}"});
            return;
        }
        const std::string meta = jsonField(r.body, "meta");
        const std::string wanted = r.method == "DELETE" ? param(r.query, "revision") : jsonField(meta, "revision");
        const std::string target = r.method == "POST" ? unquote(jsonField(meta, "name")) : name;
        const auto found = m_objects.find({kind, target});
        if (r.method == "GET") {
            respond(found == m_objects.end() ? HttpReply{404, "{}"} : HttpReply{200, objectText(kind, target)});
            return;
        }
        if (r.method == "POST") {
            if (found != m_objects.end()) {
                respond({409, objectText(kind, target)});
                return;
            }
            put(kind, target, jsonField(r.body, "spec"));
            respond({201, objectText(kind, target)});
            return;
        }
        if (found == m_objects.end()) {
            respond({404, "{}"});
            return;
        }
        if (!wanted.empty() && std::stoull(wanted) != found->second.revision) {
            respond({409, objectText(kind, target)});
            return;
        }
        if (r.method == "DELETE") {
            const std::string last = objectText(kind, target);
            m_objects.erase(found);
            m_events.push_back({++m_revision, kind, target, true, last});
            wakeWatches();
            respond({200, "{}"});
            return;
        }
        const std::string spec = jsonField(r.body, "spec");
        if (spec != found->second.spec)
            put(kind, target, spec);
        respond({200, objectText(kind, target)});
    }

    std::map<std::pair<std::string, std::string>, Object> m_objects;
    std::vector<Event> m_events;
    std::vector<std::shared_ptr<Watch>> m_watches;
    std::uint64_t m_revision = 1;
    HttpServer m_server;
    std::vector<std::unique_ptr<HttpServer>> m_others;
};

// ---------------------------------------------------------------- packets

constexpr std::uint8_t kSyn = 128, kAck = 8, kFin = 32, kRst = 1, kBounced = 16;
constexpr std::size_t kHead = 31;

struct Packet
{
    std::uint8_t flags = 0;
    std::uint32_t sum = 0, seq = 0, ack = 0, echo = 0;
    Address dst, src;
    std::string data;
};

inline std::uint32_t keyedSum(const Packet &p)
{
    std::uint32_t h = 2166136261U ^ 0x5eed5eedU;
    const auto add = [&](const std::string &s) {
        for (const char c : s)
            h = (h ^ std::uint8_t(c)) * 16777619U;
    };
    add(std::to_string(p.flags & ~kBounced) + "/" + std::to_string(p.seq) + "/" + std::to_string(p.ack) + "/"
        + p.dst.text() + "/" + p.src.text() + "/");
    add(p.data);
    return h == 0 ? 1 : h;
}

inline std::string encode(Packet p)
{
    std::string b(kHead, '\0');
    const auto put = [&](std::size_t at, std::uint64_t v, int n) {
        for (int i = 0; i < n; ++i)
            b[at + std::size_t(i)] = char(v >> (8 * i));
    };
    const auto putAddress = [&](std::size_t at, const Address &a) {
        in_addr in{};
        inet_pton(AF_INET, a.ip.c_str(), &in);
        put(at, ntohl(in.s_addr), 4);
        put(at + 4, a.port, 2);
    };
    put(0, p.flags, 1);
    put(1, keyedSum(p), 4);
    put(5, p.seq, 4);
    put(9, p.ack, 4);
    put(13, p.echo, 4);
    put(17, p.data.size(), 2);
    putAddress(19, p.dst);
    putAddress(25, p.src);
    return b + p.data;
}

inline std::optional<Packet> decode(const std::string &b)
{
    if (b.size() < kHead)
        return std::nullopt;
    const auto get = [&](std::size_t at, int n) {
        std::uint64_t v = 0;
        for (int i = 0; i < n; ++i)
            v |= std::uint64_t(std::uint8_t(b[at + std::size_t(i)])) << (8 * i);
        return v;
    };
    const auto getAddress = [&](std::size_t at) {
        in_addr in{htonl(std::uint32_t(get(at, 4)))};
        char text[32];
        inet_ntop(AF_INET, &in, text, sizeof text);
        return Address{text, std::uint16_t(get(at + 4, 2))};
    };
    Packet p;
    p.flags = std::uint8_t(get(0, 1));
    p.sum = std::uint32_t(get(1, 4));
    p.seq = std::uint32_t(get(5, 4));
    p.ack = std::uint32_t(get(9, 4));
    p.echo = std::uint32_t(get(13, 4));
    p.dst = getAddress(19);
    p.src = getAddress(25);
    p.data = b.substr(kHead);
    return get(17, 2) == p.data.size() ? std::optional(p) : std::nullopt;
}

inline std::mt19937 random32{std::random_device{}()};

// ---------------------------------------------------------------- servers

struct ServerSettings
{
    std::string id, service, zone;
    Address app, outbound, control;
    double beatPeriod = 0.77;
    double workSeconds = 0.02;
};

/// A server: one boot from construction to destruction. It beats to its machine's node and answers requests.
class Server
{
public:
    Server(ServerSettings settings, std::string label)
        : m_settings(std::move(settings))
        , m_label(std::move(label))
        , m_born(unixMs())
        , m_fd(openUdp(m_settings.app))
        , m_health(std::make_unique<HttpServer>(m_settings.app, "",
                                                [](const HttpRequest &, HttpServer::Respond respond) {
                                                    respond({200, "{}"});
                                                }))
        , m_alive(std::make_shared<bool>(true))
    {
        loop.watch(m_fd, POLLIN, [this](short) {
            char b[2048];
            for (;;) {
                const ssize_t n = recv(m_fd, b, sizeof b, 0);
                if (n < 0)
                    return;
                if (const auto p = decode(std::string(b, std::size_t(n))))
                    receive(*p);
            }
        });
        record.line("server %s (boot %s, born %lld) starts at %s", m_label.c_str(), m_settings.id.c_str(),
                    (long long)m_born, m_settings.app.text().c_str());
    }
    ~Server()
    {
        *m_alive = false;
        loop.forget(m_fd);
        ::close(m_fd);
        record.line("server %s ends", m_label.c_str());
    }
    Server(const Server &) = delete;

    /// Beats from now on. `deliver` carries a beat's target and body to the node; the default calls the node at once.
    using Deliver = std::function<void(const std::string &target, const std::string &body)>;
    void startBeating(Deliver deliver = nullptr)
    {
        m_deliver = std::move(deliver);
        beat();
    }
    double lastConfirmedAt() const { return m_lastConfirmedAt; }
    std::uint64_t confirmedCount() const { return m_confirmed; }
    const std::string &label() const { return m_label; }
    std::size_t resetsSent() const { return m_resetsSent; }
    bool holds(const Address &client, const Address &service) const
    {
        const auto found = m_flows.find({client, service});
        return found != m_flows.end() && found->second.isOpen;
    }
    std::set<std::string> runs; ///< Ids of the requests that it has run.

private:
    struct Flow
    {
        bool isOpen = false;
        std::uint32_t first = 0, next = 0, expected = 0;
        std::string lastAnswer;
        std::uint32_t lastAnswerAt = 0;
    };

    void beat()
    {
        const std::string target = "/-/Instances.Heartbeat/" + m_settings.id;
        const std::string body = "{\"service\":\"" + m_settings.service + "\",\"address\":\"" + m_settings.app.text()
                                 + "\",\"zone\":\"" + m_settings.zone
                                 + "\",\"version\":\"v1\",\"slots\":7,\"state\":\"ready\","
                                 + "\"cold-remaining-ms\":0,\"seq-no\":" + std::to_string(++m_sequence)
                                 + ",\"born\":" + std::to_string(m_born) + "}";
        const auto alive = m_alive;
        if (m_deliver) {
            m_deliver(target, body);
        } else {
            httpCall(m_settings.control, "POST", target, body, 1.0, [this, alive](int status) {
                if (!*alive || status != 200)
                    return;
                ++m_confirmed;
                m_lastConfirmedAt = now();
            });
        }
        loop.after(m_settings.beatPeriod, [this, alive] {
            if (*alive)
                beat();
        });
    }
    void send(Packet p)
    {
        const std::string b = encode(std::move(p));
        const sockaddr_in s = toSockaddr(m_settings.outbound);
        sendto(m_fd, b.data(), b.size(), 0, reinterpret_cast<const sockaddr *>(&s), sizeof s);
    }
    void bounce(Packet p)
    {
        p.flags |= kBounced;
        send(std::move(p));
    }
    void receive(const Packet &p)
    {
        const std::pair<Address, Address> key{p.src, p.dst};
        if (p.flags & kSyn) {
            Flow &f = m_flows[key];
            if (f.first == 0) {
                f.first = random32() | 1U;
                f.next = f.first + 1;
                f.expected = p.seq + 1;
            }
            send({std::uint8_t(kSyn | kAck), 0, f.first, f.expected, 0, p.src, p.dst, {}});
            return;
        }
        const auto found = m_flows.find(key);
        if (found == m_flows.end() || (!found->second.isOpen && p.ack != found->second.first + 1)) {
            bounce(p);
            return;
        }
        Flow &f = found->second;
        if (!f.isOpen) {
            f.isOpen = true;
            record.line("server %s holds the open flow of %s", m_label.c_str(), p.src.text().c_str());
        }
        if (p.flags & kRst) {
            m_flows.erase(found);
            return;
        }
        if (p.data.empty())
            return;
        if (p.seq != f.expected) {
            if (!f.lastAnswer.empty())
                send({kAck, 0, f.lastAnswerAt, f.expected, 0, p.src, p.dst, f.lastAnswer});
            return;
        }
        f.expected += std::uint32_t(p.data.size());
        const auto at = p.data.find("Request-Id: ");
        const std::string id = p.data.substr(at + 12, p.data.find("\r\n", at) - at - 12);
        runs.insert(id);
        record.line("server %s runs request %s", m_label.c_str(), id.c_str());
        const auto alive = m_alive;
        loop.after(m_settings.workSeconds, [this, alive, key, id] {
            const auto flow = *alive ? m_flows.find(key) : m_flows.end();
            if (!*alive || flow == m_flows.end())
                return;
            Flow &f = flow->second;
            const std::string text = "done " + id + " by " + m_label;
            f.lastAnswer = "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nContent-Length: " + std::to_string(text.size())
                           + "\r\n\r\n" + text;
            f.lastAnswerAt = f.next;
            f.next += std::uint32_t(f.lastAnswer.size());
            send({kAck, 0, f.lastAnswerAt, f.expected, 0, key.first, key.second, f.lastAnswer});
        });
    }

    ServerSettings m_settings;
    std::string m_label;
    std::int64_t m_born;
    int m_fd;
    std::unique_ptr<HttpServer> m_health;
    std::shared_ptr<bool> m_alive;
    Deliver m_deliver;
    std::uint64_t m_sequence = 0, m_confirmed = 0;
    double m_lastConfirmedAt = -1;
    std::size_t m_resetsSent = 0;
    std::map<std::pair<Address, Address>, Flow> m_flows;
};

// ---------------------------------------------------------------- routers and clients

struct Front
{
    std::string name, zone;
    Address packets, ready;
};

/// The platform's routers: readiness twice a second, out after two misses, the nodes of other zones if the zone has none.
class Router
{
public:
    void add(const Front &front)
    {
        m_fronts.push_back({front, false, 0});
        probe(m_fronts.size() - 1);
    }
    bool isIn(const std::string &name) const
    {
        for (const auto &f : m_fronts) {
            if (f.front.name == name)
                return f.isIn;
        }
        return false;
    }
    /// Returns the front that gets packets of this flow.
    const Front *choose(const std::string &zone, const Address &client) const
    {
        for (const bool ownZone : {true, false}) {
            const Front *best = nullptr;
            std::size_t bestRank = 0;
            for (const auto &f : m_fronts) {
                if (!f.isIn || (f.front.zone == zone) != ownZone)
                    continue;
                const std::size_t rank = std::hash<std::string>{}(f.front.name + "/" + client.text());
                if (best == nullptr || rank > bestRank) {
                    best = &f.front;
                    bestRank = rank;
                }
            }
            if (best != nullptr)
                return best;
        }
        return nullptr;
    }
    void forward(const std::string &zone, const Address &client, const std::string &bytes)
    {
        if (m_fd < 0)
            m_fd = openUdp({"127.0.0.1", 0});
        if (const Front *front = choose(zone, client)) {
            const sockaddr_in s = toSockaddr(front->packets);
            sendto(m_fd, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr *>(&s), sizeof s);
        }
    }

private:
    struct State
    {
        Front front;
        bool isIn;
        int misses;
    };
    void probe(std::size_t index)
    {
        httpCall(m_fronts[index].front.ready, "GET", "/-/readiness", "", 0.45, [this, index](int status) {
            State &f = m_fronts[index];
            const bool before = f.isIn;
            f.misses = status == 200 ? 0 : f.misses + 1;
            if (status == 200)
                f.isIn = true;
            else if (f.misses >= 2)
                f.isIn = false;
            if (before != f.isIn)
                record.line("router: %s is %s the rotation", f.front.name.c_str(), f.isIn ? "in" : "out of");
        });
        loop.after(0.5, [this, index] { probe(index); });
    }
    std::deque<State> m_fronts;
    int m_fd = -1;
};

/// A client with one flow, kept open for many requests.
class Client
{
public:
    enum class State { closed, opening, open, failed, reset };

    Client(std::string name, std::string zone, const std::string &ip, std::uint16_t packetPort, std::uint16_t flowPort,
           const Address &route, Router *router)
        : m_name(std::move(name))
        , m_zone(std::move(zone))
        , m_self{ip, flowPort}
        , m_route(route)
        , m_router(router)
        , m_fd(openUdp({ip, packetPort}))
    {
        loop.watch(m_fd, POLLIN, [this](short) {
            char b[2048];
            for (;;) {
                const ssize_t n = recv(m_fd, b, sizeof b, 0);
                if (n < 0)
                    return;
                if (const auto p = decode(std::string(b, std::size_t(n))))
                    receive(*p);
            }
        });
    }
    Client(const Client &) = delete;

    void open()
    {
        m_state = State::opening;
        m_next = random32();
        record.line("client %s opens a flow from %s", m_name.c_str(), m_self.text().c_str());
        for (int copy = 0; copy < 3; ++copy) {
            loop.after(copy == 0   ? 0
                       : copy == 1 ? 0.2
                                   : 0.6,
                       [this, copy] {
                           if (m_state == State::opening)
                               send({kSyn, 0, m_next, std::uint32_t(copy), 0, m_route, m_self, {}});
                       });
        }
        loop.after(1.4, [this] {
            if (m_state == State::opening) {
                m_state = State::failed;
                record.line("client %s: the flow did not open", m_name.c_str());
            }
        });
    }
    /// Sends a request on the open flow; repeats the packet after 200 ms, 400 ms and so on until it is answered.
    void request(double budget = 2.5)
    {
        if (m_state != State::open)
            return;
        m_requestId = m_name + "-" + std::to_string(++m_requests);
        m_answered = false;
        m_requestAt = m_next;
        m_requestText = "GET /x HTTP/1.1\r\nRequest-Id: " + m_requestId + "\r\nDeadline-Ms: 2500\r\n\r\n";
        m_next += std::uint32_t(m_requestText.size());
        record.line("client %s sends request %s", m_name.c_str(), m_requestId.c_str());
        const std::string id = m_requestId;
        transmit(id, 0.2);
        loop.after(budget, [this, id] {
            if (m_requestId == id && !m_answered && m_state == State::open) {
                ++timeouts;
                record.line("client %s: request %s has no answer in its time budget", m_name.c_str(), id.c_str());
            }
        });
    }
    State state() const { return m_state; }
    bool isAnswered() const { return m_answered; }
    const std::string &requestId() const { return m_requestId; }
    const std::string &name() const { return m_name; }
    const Address &address() const { return m_self; }
    const std::string &server() const { return m_server; }
    int timeouts = 0;
    int wrong = 0;

private:
    void transmit(const std::string &id, double wait)
    {
        if (m_requestId != id || m_answered || m_state != State::open)
            return;
        send({kAck, 0, m_requestAt, m_expected, 0, m_route, m_self, m_requestText});
        loop.after(wait, [this, id, wait] { transmit(id, std::min(1.6, wait * 2)); });
    }
    void send(Packet p) { m_router->forward(m_zone, m_self, encode(std::move(p))); }
    void receive(const Packet &p)
    {
        if (!(p.dst == m_self) || !(p.src == m_route))
            return;
        if (p.flags & kRst) {
            const bool isOwn = p.sum == 0;
            const auto distance = std::int32_t(p.seq - m_expected);
            if (m_state == State::opening) {
                m_state = State::failed;
                record.line("client %s: the opening was refused with a reset", m_name.c_str());
            } else if (m_state == State::open && std::abs(distance) <= 76800) {
                m_state = State::reset;
                record.line("client %s gets a reset on its open flow, held by server %s, sum=%u (%s)", m_name.c_str(),
                            m_server.c_str(), p.sum, isOwn ? "sent by the system" : "sent by a server");
            }
            return;
        }
        if (p.flags & kSyn) {
            if (m_state != State::opening)
                return;
            m_state = State::open;
            m_expected = p.seq + 1;
            ++m_next;
            send({kAck, 0, m_next, m_expected, 0, m_route, m_self, {}});
            return;
        }
        if (m_state != State::open || p.data.empty())
            return;
        if (p.seq == m_expected) {
            m_expected += std::uint32_t(p.data.size());
            if (p.data.find("done " + m_requestId + " by ") == std::string::npos) {
                ++wrong;
                record.line("client %s gets an answer that is not its own", m_name.c_str());
            } else if (!m_answered) {
                m_answered = true;
                m_server = p.data.substr(p.data.rfind(' ') + 1);
                record.line("client %s: request %s is answered by server %s", m_name.c_str(), m_requestId.c_str(),
                            m_server.c_str());
            }
        }
        send({kAck, 0, m_next, m_expected, 0, m_route, m_self, {}});
    }

    std::string m_name, m_zone;
    Address m_self, m_route;
    Router *m_router;
    int m_fd;
    State m_state = State::closed;
    std::uint32_t m_next = 0, m_expected = 0, m_requestAt = 0;
    std::string m_requestId, m_requestText, m_server;
    bool m_answered = false;
    int m_requests = 0;
};

// ---------------------------------------------------------------- the project's processes

/// Starts and ends the project's programs. All of them end with this process.
class Node
{
public:
    Node(std::string name, std::string program, std::string settingsPath, std::string logPath)
        : m_name(std::move(name))
        , m_program(std::move(program))
        , m_settings(std::move(settingsPath))
        , m_log(std::move(logPath))
    {}
    ~Node() { kill(SIGKILL); }
    Node(const Node &) = delete;

    void start()
    {
        const pid_t parent = getpid();
        m_pid = fork();
        if (m_pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (getppid() != parent)
                _exit(127);
            const int fd = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(fd, 1);
            dup2(fd, 2);
            setenv("CITRONCRANK_BOOT", m_settings.c_str(), 1);
            execl(m_program.c_str(), m_program.c_str(), static_cast<char *>(nullptr));
            _exit(127);
        }
        record.line("%s starts", m_name.c_str());
    }
    void signal(int number)
    {
        if (m_pid > 0)
            ::kill(m_pid, number);
        record.line("%s gets signal %d", m_name.c_str(), number);
    }
    /// Whether the process has ended. Reaps it.
    bool hasEnded()
    {
        if (m_pid <= 0)
            return true;
        int status = 0;
        if (waitpid(m_pid, &status, WNOHANG) != m_pid)
            return false;
        m_pid = -1;
        m_status = status;
        return true;
    }
    int status() const { return m_status; }
    void kill(int number)
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, number);
        ::kill(m_pid, SIGCONT);
        int status = 0;
        waitpid(m_pid, &status, 0);
        m_pid = -1;
        m_status = status;
    }

private:
    std::string m_name, m_program, m_settings, m_log;
    pid_t m_pid = -1;
    int m_status = 0;
};

/// Addresses of a small deployment, and the settings files of its nodes, as the deploy file's template gives them.
struct Deployment
{
    std::string folder;   ///< Temporary folder for settings and logs.
    std::string programs; ///< Folder of the project's programs.
    std::string network;  ///< First two bytes of all addresses.
    std::uint16_t base = 28100;
    std::string seeds;

    Address store() const { return {network + ".70.1", port(0)}; }
    std::uint16_t port(int n) const { return std::uint16_t(base + n); }
    std::uint16_t packetPort() const { return port(72); }
    Address frontPackets(int n) const { return {network + ".71." + std::to_string(n), packetPort()}; }
    Address frontReady(int n) const { return {network + ".71." + std::to_string(n), port(67)}; }
    Address outbound(int n) const { return {network + ".72." + std::to_string(n), port(62)}; }
    Address control(int n) const { return {network + ".72." + std::to_string(n), port(66)}; }
    Address app(int n) const { return {network + ".72." + std::to_string(n), port(88)}; }
    Address agentReady(int n) const { return {network + ".72." + std::to_string(n), port(67)}; }

    std::string write(const std::string &name, const std::string &text) const
    {
        const std::string path = folder + "/" + name + ".yaml";
        std::ofstream(path) << text;
        return path;
    }
    std::string common(const std::string &name, const std::string &zone, const std::string &ip) const
    {
        return "name: \"" + name + "\"\nregion: \"r\"\ndomain: \"" + zone + "\"\nlisten:\n  plane: \"" + ip + ":"
               + std::to_string(port(20)) + "\"\n  http: \"" + ip + ":" + std::to_string(port(67)) + "\"\n";
    }
    std::string tail(const std::string &ip, const std::string &storeAddress = {}) const
    {
        return "caller-address: \"" + ip + ":" + std::to_string(packetPort()) + "\"\nplatform: \""
               + (storeAddress.empty() ? store().text() : storeAddress) + "\"\nstore-writes: 400\nseeds: [" + seeds
               + "]\nflow-lifetime: \"60s\"\nstop-time: \"6s\"\n";
    }
    std::unique_ptr<Node> balancer(int n, const std::string &zone) const
    {
        const std::string name = "front-" + zone + "-" + std::to_string(n), ip = frontPackets(n).ip;
        const std::string path =
            write(name, common(name, zone, ip) + "  packets: \"" + frontPackets(n).text() + "\"\n" + tail(ip));
        return std::make_unique<Node>(name, programs + "/citroncrank-packet-balancer", path,
                                      folder + "/" + name + ".log");
    }
    /// `storeAddress`: of the store as this machine reaches it, if not store().
    std::unique_ptr<Node> agent(int n, const std::string &zone, const std::string &service,
                                const std::string &storeAddress = {}) const
    {
        const std::string name = "side-" + zone + "-" + std::to_string(n), ip = outbound(n).ip;
        const std::string path = write(
            name, common(name, zone, ip) + "  upstream-packets: \"" + outbound(n).text() + "\"\n  announcements: \""
                      + control(n).text() + "\"\nupstream:\n  address: \"" + app(n).text() + "\"\n  service: \""
                      + service + "\"\n  announcement-period: \"770ms\"\n" + tail(ip, storeAddress));
        return std::make_unique<Node>(name, programs + "/citroncrank-packet-agent", path, folder + "/" + name + ".log");
    }
    ServerSettings server(int n, const std::string &zone, const std::string &service, const std::string &id) const
    {
        return {id, service, zone, app(n), outbound(n), control(n)};
    }
};

/// Calls `isUp` until a TCP connection to the address succeeds; for short waits of a script.
inline bool accepts(const Address &at)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in s = toSockaddr(at);
    const bool result = connect(fd, reinterpret_cast<const sockaddr *>(&s), sizeof s) == 0;
    ::close(fd);
    return result;
}

/// The operator's configuration with one route.
inline std::string configText(int version, const Address &route, const std::string &service)
{
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[{\"name\":\"r1\",\"host\":\"" + route.ip
           + "\",\"path-prefix\":\"/" + std::to_string(route.port)
           + "/\",\"route-type\":\"safe\",\"timeout-ms\":2500,\"target-latency-ms\":300,\"priority\":1,\"service\":\""
           + service + "\"}],\"services\":[{\"name\":\"" + service
           + "\",\"health-path\":\"/health\"}],\"limits\":{\"idle-timeout-ms\":15000}}";
}

} // namespace world
