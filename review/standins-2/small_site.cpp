// A small deployment on loopback for one case of the review: the platform's store, routers, callers, two upstreams, and the
// processes of citroncrank (two balancers, two agents). Follows PROTOCOL.md; where it is silent, the parts are sound.
//
// small_site BIN_DIR WORK_DIR RECORD_FILE TROUBLE
// Exit code: 1 the rule FLOW was broken, 0 it held, 2 the case could not run.

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

const steady::time_point startedAt = steady::now();
std::FILE *recordFile = nullptr;
std::mutex recordMutex;
std::atomic<bool> isEnding{false};

double seconds()
{
    return std::chrono::duration<double>(steady::now() - startedAt).count();
}

void record(const char *format, ...)
{
    const std::lock_guard lock(recordMutex);
    std::fprintf(recordFile, "%8.3f ", seconds());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(recordFile, format, arguments);
    va_end(arguments);
    std::fputc('\n', recordFile);
    std::fflush(recordFile);
}

void pause(double length)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(length));
}

sockaddr_in toSockaddr(const std::string &ip, int port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(std::uint16_t(port));
    inet_pton(AF_INET, ip.c_str(), &result.sin_addr);
    return result;
}

std::uint32_t ipNumber(const std::string &ip)
{
    return ntohl(toSockaddr(ip, 0).sin_addr.s_addr);
}

int openUdp(const std::string &ip, int port)
{
    const int descriptor = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = toSockaddr(ip, port);
    if (descriptor < 0 || ::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0)
        return -1;
    return descriptor;
}

int openListener(const std::string &ip, int port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = toSockaddr(ip, port);
    if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || ::listen(descriptor, 128) != 0)
        return -1;
    return descriptor;
}

int connectTcp(const std::string &ip, int port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit{1, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const sockaddr_in address = toSockaddr(ip, port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0)
        return descriptor;
    ::close(descriptor);
    return -1;
}

bool sendAll(int descriptor, const std::string &bytes)
{
    for (std::size_t sent = 0; sent < bytes.size();) {
        const auto count = ::send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += std::size_t(count);
    }
    return true;
}

/// Status of one call on a connection of its own; 0 without an answer within a second.
int callOnce(const std::string &ip, int port, const std::string &method, const std::string &path,
             const std::string &body)
{
    const int descriptor = connectTcp(ip, port);
    if (descriptor < 0)
        return 0;
    const std::string head = method + " " + path + " HTTP/1.1\r\nHost: " + ip
                             + "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: "
                             + std::to_string(body.size()) + "\r\n\r\n";
    std::string answer;
    if (sendAll(descriptor, head + body)) {
        char buffer[4096];
        for (;;) {
            const auto count = ::recv(descriptor, buffer, sizeof buffer, 0);
            if (count <= 0)
                break;
            answer.append(buffer, std::size_t(count));
        }
    }
    ::close(descriptor);
    return answer.size() > 12 ? std::atoi(answer.c_str() + 9) : 0;
}

// ---------------------------------------------------------------------------------------------------------------------
// The platform's store: objects by kind and name, conditional writes, waiting watches.

class store
{
public:
    bool start(const std::string &ip, int port)
    {
        m_listener = openListener(ip, port);
        if (m_listener < 0)
            return false;
        std::thread([this] {
            while (!isEnding) {
                const int connection = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (connection >= 0)
                    std::thread([this, connection] { serve(connection); }).detach();
            }
        }).detach();
        return true;
    }

    void put(const std::string &kind, const std::string &name, const std::string &spec)
    {
        const std::lock_guard lock(m_mutex);
        write(kind, name, spec, false);
    }

private:
    struct object
    {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::string spec;
    };
    struct event
    {
        std::uint64_t revision = 0;
        std::string kind;
        std::string json;
    };

    static std::string toJson(const std::string &name, const object &entry)
    {
        return "{\"meta\":{\"name\":\"" + name + "\",\"revision\":" + std::to_string(entry.revision)
               + ",\"created\":" + std::to_string(entry.created)
               + ",\"finalizers\":[],\"deleting\":false},\"spec\":" + entry.spec + ",\"status\":null}";
    }

    void write(const std::string &kind, const std::string &name, const std::string &spec, bool isDeleted)
    {
        object &entry = m_objects[kind][name];
        if (!isDeleted && entry.revision != 0 && entry.spec == spec)
            return;
        entry.revision = ++m_revision;
        entry.created = entry.created == 0 ? m_revision : entry.created;
        if (!isDeleted)
            entry.spec = spec;
        m_events.push_back(
            {m_revision, kind,
             "{\"deleted\":" + std::string(isDeleted ? "true" : "false") + ",\"object\":" + toJson(name, entry) + "}"});
        if (isDeleted)
            m_objects[kind].erase(name);
        m_changed.notify_all();
    }

    static std::uint64_t numberAfter(const std::string &text, const std::string &mark)
    {
        const auto at = text.find(mark);
        return at == std::string::npos ? 0 : std::strtoull(text.c_str() + at + mark.size(), nullptr, 10);
    }

    std::pair<int, std::string> answer(const std::string &method, const std::string &target, const std::string &body)
    {
        const std::string prefix = "/-/objects/";
        if (target.compare(0, prefix.size(), prefix) != 0)
            return {404, "{}"};
        const auto mark = target.find('?');
        const std::string path = target.substr(prefix.size(), mark == std::string::npos ? mark : mark - prefix.size());
        const std::string query = mark == std::string::npos ? "" : "&" + target.substr(mark + 1);
        const auto slash = path.find('/');
        const std::string kind = path.substr(0, slash);
        std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
        std::unique_lock lock(m_mutex);
        if (method == "GET" && name.empty())
            return query.find("&watch=") == std::string::npos ? list(kind) : watch(kind, query, &lock);
        const auto specAt = body.find("\"spec\":");
        const std::string meta = body.substr(0, specAt);
        const std::string spec = specAt == std::string::npos ? "" : body.substr(specAt + 7, body.size() - specAt - 8);
        if (method == "POST") {
            const auto at = meta.find("\"name\":\"") + 8;
            name = meta.substr(at, meta.find('"', at) - at);
        }
        const bool isKnown = m_objects[kind].contains(name);
        if (method == "POST" && isKnown)
            return {409, toJson(name, m_objects[kind][name])};
        if (method != "POST" && !isKnown)
            return {404, "{}"};
        if (method == "GET")
            return {200, toJson(name, m_objects[kind][name])};
        const std::uint64_t expected =
            numberAfter(method == "DELETE" ? query : meta, method == "DELETE" ? "&revision=" : "\"revision\":");
        if (method != "POST" && expected != 0 && expected != m_objects[kind][name].revision)
            return {409, toJson(name, m_objects[kind][name])};
        if (method == "DELETE") {
            write(kind, name, "", true);
            return {200, "{}"};
        }
        write(kind, name, spec, false);
        return {200, toJson(name, m_objects[kind][name])};
    }

    std::pair<int, std::string> list(const std::string &kind)
    {
        std::string items;
        for (const auto &[name, entry] : m_objects[kind])
            items += (items.empty() ? "" : ",") + toJson(name, entry);
        return {200, "{\"items\":[" + items + "],\"has-more\":false,\"as-of\":" + std::to_string(m_revision) + "}"};
    }

    std::pair<int, std::string> watch(const std::string &kind, const std::string &query,
                                      std::unique_lock<std::mutex> *lock)
    {
        const std::uint64_t from = numberAfter(query, "&watch=");
        const auto until = steady::now() + milliseconds(numberAfter(query, "&wait-ms="));
        std::string events;
        const auto collect = [&] {
            events.clear();
            for (const event &entry : m_events) {
                if (entry.kind == kind && entry.revision > from)
                    events += (events.empty() ? "" : ",") + entry.json;
            }
            return !events.empty();
        };
        while (!collect() && !isEnding && m_changed.wait_until(*lock, until) != std::cv_status::timeout) {
        }
        return {200, "{\"events\":[" + events + "],\"as-of\":" + std::to_string(m_revision) + "}"};
    }

    void serve(int connection)
    {
        std::string input;
        char buffer[65536];
        while (!isEnding) {
            const auto headEnd = input.find("\r\n\r\n");
            const std::size_t length = headEnd == std::string::npos ? 0 : contentLength(input.substr(0, headEnd));
            if (headEnd == std::string::npos || input.size() < headEnd + 4 + length) {
                const auto count = ::recv(connection, buffer, sizeof buffer, 0);
                if (count <= 0)
                    break;
                input.append(buffer, std::size_t(count));
                continue;
            }
            const std::string line = input.substr(0, input.find("\r\n"));
            const auto first = line.find(' ');
            const auto second = line.find(' ', first + 1);
            const auto [status, text] = answer(line.substr(0, first), line.substr(first + 1, second - first - 1),
                                               input.substr(headEnd + 4, length));
            input.erase(0, headEnd + 4 + length);
            const std::string head =
                "HTTP/1.1 " + std::to_string(status)
                + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n";
            if (!sendAll(connection, head + text))
                break;
        }
        ::close(connection);
    }

    static std::size_t contentLength(std::string head)
    {
        for (char &letter : head)
            letter = char(std::tolower(static_cast<unsigned char>(letter)));
        return std::size_t(numberAfter(head, "content-length:"));
    }

    int m_listener = -1;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_revision = 100;
    std::map<std::string, std::map<std::string, object>> m_objects;
    std::vector<event> m_events;
};

// ---------------------------------------------------------------------------------------------------------------------
// Packets.

constexpr std::uint8_t kSyn = 128, kAck = 8, kFin = 32, kRst = 1, kBounced = 16;
constexpr std::size_t kHead = 31;

struct segment
{
    std::uint8_t flags = 0;
    std::uint32_t sum = 0, sequence = 0, acknowledged = 0;
    std::uint32_t destination = 0, source = 0;
    std::uint16_t destinationPort = 0, sourcePort = 0;
    std::string data;
};

void putNumber(std::string *out, std::uint64_t value, int bytes)
{
    for (int i = 0; i < bytes; ++i)
        out->push_back(char((value >> (8 * i)) & 255));
}

std::uint64_t takeNumber(const char *at, int bytes)
{
    std::uint64_t value = 0;
    for (int i = 0; i < bytes; ++i)
        value |= std::uint64_t(std::uint8_t(at[i])) << (8 * i);
    return value;
}

std::string encode(const segment &source)
{
    std::string out;
    putNumber(&out, source.flags, 1);
    putNumber(&out, source.sum, 4);
    putNumber(&out, source.sequence, 4);
    putNumber(&out, source.acknowledged, 4);
    putNumber(&out, 0, 4);
    putNumber(&out, source.data.size(), 2);
    putNumber(&out, source.destination, 4);
    putNumber(&out, source.destinationPort, 2);
    putNumber(&out, source.source, 4);
    putNumber(&out, source.sourcePort, 2);
    return out + source.data;
}

bool decode(const char *bytes, std::size_t size, segment *result)
{
    if (size < kHead || takeNumber(bytes + 17, 2) + kHead != size)
        return false;
    *result = {std::uint8_t(bytes[0]),
               std::uint32_t(takeNumber(bytes + 1, 4)),
               std::uint32_t(takeNumber(bytes + 5, 4)),
               std::uint32_t(takeNumber(bytes + 9, 4)),
               std::uint32_t(takeNumber(bytes + 19, 4)),
               std::uint32_t(takeNumber(bytes + 25, 4)),
               std::uint16_t(takeNumber(bytes + 23, 2)),
               std::uint16_t(takeNumber(bytes + 29, 2)),
               std::string(bytes + kHead, size - kHead)};
    return true;
}

void sendTo(int descriptor, const std::string &ip, int port, const std::string &bytes)
{
    const sockaddr_in address = toSockaddr(ip, port);
    ::sendto(descriptor, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr *>(&address), sizeof address);
}

// ---------------------------------------------------------------------------------------------------------------------
// Layout. Ports are the same on all hosts.

constexpr int kInternal = 27720, kPackets = 28172, kReady = 28167, kControl = 28166, kOutbound = 28162, kApp = 28165;
int network = 0; // Second byte of all addresses, so that runs side by side do not meet.
std::string hostIp(int group, int index)
{
    return "127." + std::to_string(network) + "." + std::to_string(group) + "." + std::to_string(index + 1);
}
std::string storeIp()
{
    return hostIp(64, 0);
}
std::string frontIp(int index)
{
    return hostIp(65, index);
}
std::string sideIp(int index)
{
    return hostIp(66, index);
}
std::string routeIp()
{
    return hostIp(68, 0);
} // In packets only; nothing is sent to it.
constexpr int kRoutePort = 443;
constexpr int kCallers = 24;
std::string callerIp(int index)
{
    return hostIp(67, index);
}
constexpr int kSides = 2;
constexpr int kBeatMs = 770;
constexpr double kBudget = 8.0; // Time budget of a request.

// ---------------------------------------------------------------------------------------------------------------------
// An upstream: answers each request at once, holds its flows, announces itself.

class upstream
{
public:
    explicit upstream(int index)
        : m_ip(sideIp(index))
        , m_id("i-" + std::to_string(index + 1))
    {}
    bool start()
    {
        m_socket = openUdp(m_ip, kApp);
        m_listener = openListener(m_ip, kApp);
        m_born = std::uint64_t(
            std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
        if (m_socket < 0 || m_listener < 0)
            return false;
        std::thread([this] { receive(); }).detach();
        std::thread([this] { beat(); }).detach();
        return true;
    }
    bool holds(std::uint32_t caller, std::uint16_t port)
    {
        const std::lock_guard lock(m_mutex);
        return m_flows.contains({caller, port}) && m_flows[{caller, port}].isOpen;
    }
    int confirmed() const { return m_confirmed; }
    /// Sends an announcement on a connection that goes silent for good in the middle of the body, if `isSilent`.
    void beatInTwoParts(bool isSilent)
    {
        const std::string body = announcement();
        const int connection = connectTcp(m_ip, kControl);
        const std::string head =
            "POST /-/Instances.Heartbeat/" + m_id + " HTTP/1.1\r\nHost: " + m_ip
            + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        sendAll(connection, head + body.substr(0, body.size() / 2));
        if (!isSilent) {
            sendAll(connection, body.substr(body.size() / 2));
            char answer[2048];
            const auto count = ::recv(connection, answer, sizeof answer, 0);
            record("upstream %s: announcement in two parts was answered, bytes=%d", m_id.c_str(), int(count));
            ::close(connection);
            return;
        }
        record(
            "upstream %s: a connection goes silent in the middle of an announcement; the next ones use new connections",
            m_id.c_str());
        m_silent = connection; // Nothing is sent on it any more, and it isn't closed.
    }

private:
    struct flow
    {
        std::uint32_t first = 0, next = 0, expected = 0;
        bool isOpen = false;
        std::string input, lastAnswer;
        std::uint32_t lastAnswerAt = 0;
    };

    std::string announcement()
    {
        return "{\"service\":\"desk\",\"address\":\"" + m_ip + ":" + std::to_string(kApp)
               + "\",\"zone\":\"za\",\"version\":\"v1\",\"slots\":7,\"state\":\"ready\",\"cold-remaining-ms\":0,\"seq-"
                 "no\":"
               + std::to_string(++m_number) + ",\"born\":" + std::to_string(m_born) + "}";
    }
    void beat()
    {
        while (!isEnding) {
            if (callOnce(m_ip, kControl, "POST", "/-/Instances.Heartbeat/" + m_id, announcement()) == 200)
                ++m_confirmed;
            pause(kBeatMs / 1000.0);
        }
    }
    void receive()
    {
        char buffer[4096];
        while (!isEnding) {
            const auto count = ::recv(m_socket, buffer, sizeof buffer, 0);
            segment arrived;
            if (count > 0 && decode(buffer, std::size_t(count), &arrived))
                handle(arrived, std::string(buffer, std::size_t(count)));
        }
    }
    void answer(const segment &to, std::uint8_t flags, std::uint32_t sequence, std::uint32_t acknowledged,
                const std::string &data)
    {
        const segment out{flags,          0x5151,        sequence,           acknowledged, to.source,
                          to.destination, to.sourcePort, to.destinationPort, data};
        sendTo(m_socket, m_ip, kOutbound, encode(out));
    }
    void handle(const segment &arrived, std::string bytes)
    {
        const std::lock_guard lock(m_mutex);
        const std::pair<std::uint32_t, std::uint16_t> key{arrived.source, arrived.sourcePort};
        const auto found = m_flows.find(key);
        if ((arrived.flags & kSyn) != 0) {
            flow &opened = m_flows[key];
            if (opened.first == 0)
                opened.first = std::uint32_t(std::rand()) | 1, opened.expected = arrived.sequence + 1;
            opened.next = opened.next == 0 ? opened.first + 1 : opened.next;
            answer(arrived, kSyn | kAck, opened.first, opened.expected, "");
            return;
        }
        if (found == m_flows.end()) {
            bytes[0] = char(std::uint8_t(bytes[0]) | kBounced);
            sendTo(m_socket, m_ip, kOutbound, bytes);
            return;
        }
        flow &known = found->second;
        if ((arrived.flags & kRst) != 0) {
            m_flows.erase(found);
            return;
        }
        known.isOpen = known.isOpen || arrived.acknowledged == known.first + 1;
        if (!known.isOpen || arrived.data.empty())
            return;
        if (arrived.sequence != known.expected) {
            if (!known.lastAnswer.empty())
                answer(arrived, kAck, known.lastAnswerAt, known.expected, known.lastAnswer);
            return;
        }
        known.expected += std::uint32_t(arrived.data.size());
        const auto at = arrived.data.find("Request-Id: ") + 12;
        const std::string id = arrived.data.substr(at, arrived.data.find("\r\n", at) - at);
        record("upstream %s: ran request %s", m_id.c_str(), id.c_str());
        known.lastAnswerAt = known.next;
        known.lastAnswer = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: 2\r\n\r\nok";
        known.next += std::uint32_t(known.lastAnswer.size());
        pause(0.002);
        answer(arrived, kAck, known.lastAnswerAt, known.expected, known.lastAnswer);
    }

    std::string m_ip, m_id;
    int m_socket = -1, m_listener = -1, m_silent = -1;
    std::uint64_t m_born = 0;
    std::atomic<int> m_number{0}, m_confirmed{0};
    std::mutex m_mutex;
    std::map<std::pair<std::uint32_t, std::uint16_t>, flow> m_flows;
};

// ---------------------------------------------------------------------------------------------------------------------
// Routers: readiness twice a second, out after two misses, flows by a steady hash over the nodes in rotation.

class router
{
public:
    void start()
    {
        for (int i = 0; i < 2; ++i)
            std::thread([this, i] {
                int misses = 2;
                while (!isEnding) {
                    const bool isReady = callOnce(frontIp(i), kReady, "GET", "/-/readiness", "") == 200;
                    misses = isReady ? 0 : misses + 1;
                    const bool isIn = misses < 2;
                    if (m_isIn[i].exchange(isIn) != isIn)
                        record("router: %s is %s rotation", frontIp(i).c_str(), isIn ? "in" : "out of");
                    pause(0.5);
                }
            }).detach();
    }
    bool isIn(int i) const { return m_isIn[i]; }
    int choose(std::uint32_t caller, std::uint16_t port) const
    {
        const int preferred = int((caller * 2654435761U ^ port * 40503U) >> 7 & 1);
        // One of two is not fewer than half, so a node out of rotation is used only if both are out.
        return m_isIn[preferred] || !m_isIn[1 - preferred] ? preferred : 1 - preferred;
    }

private:
    std::atomic<bool> m_isIn[2] = {false, false};
};

// ---------------------------------------------------------------------------------------------------------------------
// A caller with one long flow and a request each second.

class caller
{
public:
    caller(int index, router *routers, const std::vector<upstream *> &servers)
        : m_index(index)
        , m_ip(callerIp(index))
        , m_port(std::uint16_t(40000 + index))
        , m_routers(routers)
        , m_servers(servers)
    {}
    bool start()
    {
        m_socket = openUdp(m_ip, kPackets);
        const timeval limit{0, 20'000};
        ::setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        if (m_socket < 0)
            return false;
        std::thread([this] { run(); }).detach();
        return true;
    }
    bool isOpen() const { return m_isOpen; }
    bool wasReset() const { return m_wasReset; }
    int answered() const { return m_answered; }

private:
    void sendPacket(std::uint8_t flags, std::uint32_t sequence, std::uint32_t acknowledged, const std::string &data)
    {
        const segment out{flags,          0x4242,     sequence, acknowledged, ipNumber(routeIp()),
                          ipNumber(m_ip), kRoutePort, m_port,   data};
        sendTo(m_socket, frontIp(m_routers->choose(ipNumber(m_ip), m_port)), kPackets, encode(out));
    }
    bool receive(segment *arrived)
    {
        char buffer[4096];
        const auto count = ::recv(m_socket, buffer, sizeof buffer, 0);
        return count > 0 && decode(buffer, std::size_t(count), arrived);
    }
    /// A reset is taken near the last acknowledgement only.
    bool isReset(const segment &arrived)
    {
        const auto distance = std::int32_t(arrived.sequence - m_acknowledged);
        if ((arrived.flags & kRst) == 0 || distance > 76'800 || distance < -76'800)
            return false;
        bool isHeld = false;
        for (upstream *server : m_servers)
            isHeld = isHeld || server->holds(ipNumber(m_ip), m_port);
        record("caller %d: open flow is RESET, sum=%u, its upstream holds it: %s", m_index, arrived.sum,
               isHeld ? "yes" : "no");
        m_wasReset = m_wasReset || (isHeld && arrived.sum == 0);
        return true;
    }
    bool open()
    {
        const auto initial = std::uint32_t(std::rand());
        const double copies[3] = {0, 0.2, 0.6};
        const double begun = seconds();
        int sent = 0;
        while (seconds() - begun < 1.4) {
            if (sent < 3 && seconds() - begun >= copies[sent])
                sendPacket(kSyn, initial, std::uint32_t(sent++), "");
            segment arrived;
            if (!receive(&arrived))
                continue;
            if ((arrived.flags & kRst) != 0)
                return false;
            if ((arrived.flags & kSyn) == 0)
                continue;
            m_next = initial + 1;
            m_acknowledged = arrived.sequence + 1;
            sendPacket(kAck, m_next, m_acknowledged, "");
            return true;
        }
        return false;
    }
    void run()
    {
        while (!isEnding && !open()) {
            ++m_port;
            pause(0.2);
        }
        record("caller %d: flow is open, port %d", m_index, int(m_port));
        m_isOpen = true;
        for (int number = 1; !isEnding; ++number) {
            pause(0.8 + 0.4 * m_index / kCallers);
            if (!request(number))
                return;
        }
    }
    bool request(int number)
    {
        const std::string id = "c" + std::to_string(m_index) + "-" + std::to_string(number);
        const std::string data = "GET /feed HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id + "\r\n\r\n";
        const double begun = seconds();
        double wait = 0.2;
        double nextAt = begun;
        record("caller %d: sends request %s", m_index, id.c_str());
        while (seconds() - begun < kBudget && !isEnding) {
            if (seconds() >= nextAt) {
                sendPacket(kAck, m_next, m_acknowledged, data);
                nextAt = seconds() + wait;
                wait = std::min(2 * wait, 1.6);
            }
            segment arrived;
            if (!receive(&arrived))
                continue;
            if (isReset(arrived))
                return false;
            if (arrived.data.empty() || arrived.sequence != m_acknowledged)
                continue;
            m_acknowledged += std::uint32_t(arrived.data.size());
            m_next += std::uint32_t(data.size());
            sendPacket(kAck, m_next, m_acknowledged, "");
            record("caller %d: request %s answered after %d ms", m_index, id.c_str(), int(1000 * (seconds() - begun)));
            ++m_answered;
            return true;
        }
        record("caller %d: request %s has no answer within its time budget", m_index, id.c_str());
        sendPacket(kRst | kAck, m_next, m_acknowledged, "");
        return false;
    }

    int m_index;
    std::string m_ip;
    std::uint16_t m_port;
    router *m_routers;
    std::vector<upstream *> m_servers;
    int m_socket = -1;
    std::uint32_t m_next = 0, m_acknowledged = 0;
    std::atomic<bool> m_isOpen{false}, m_wasReset{false};
    std::atomic<int> m_answered{0};
};

// ---------------------------------------------------------------------------------------------------------------------
// Processes of the system.

std::atomic<pid_t> runningPids[8];

/// Ends the processes that this one started, if it is stopped itself.
void onTermination(int)
{
    for (const auto &pid : runningPids) {
        if (pid > 0)
            ::kill(pid, SIGKILL);
    }
    ::_exit(2);
}

struct program
{
    std::string name, binary, settings, log;
    int number = 0; ///< Place in runningPids.
    pid_t pid = -1;

    bool start()
    {
        pid = ::fork();
        if (pid == 0) {
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::setenv("CITRONCRANK_BOOT", settings.c_str(), 1);
            ::execl(binary.c_str(), binary.c_str(), static_cast<char *>(nullptr));
            ::_exit(127);
        }
        runningPids[number] = pid;
        record("platform: started %s", name.c_str());
        return pid > 0;
    }
    bool hasEnded()
    {
        if (pid > 0 && ::waitpid(pid, nullptr, WNOHANG) == pid)
            runningPids[number] = pid = -1;
        return pid < 0;
    }
    /// SIGTERM, SIGKILL after the grace time of 6 s, and a new start 0.55 s after the end.
    void restart()
    {
        const double begun = seconds();
        record("platform: SIGTERM to %s", name.c_str());
        ::kill(pid, SIGTERM);
        while (!hasEnded()) {
            if (seconds() - begun > 6.0) {
                record("platform: SIGKILL to %s, which has not ended within grace-s", name.c_str());
                ::kill(pid, SIGKILL);
                ::waitpid(pid, nullptr, 0);
                runningPids[number] = pid = -1;
                break;
            }
            pause(0.01);
        }
        record("platform: %s ended %.2f s after SIGTERM", name.c_str(), seconds() - begun);
        pause(0.55);
        start();
    }
    void end()
    {
        if (pid > 0) {
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
        }
        runningPids[number] = pid = -1;
    }
};

std::string commonSettings(const std::string &name, const std::string &ip)
{
    return "name: \"" + name + "\"\nregion: \"r\"\ndomain: \"za\"\nlisten:\n  plane: \"" + ip + ":"
           + std::to_string(kInternal) + "\"\n  http: \"" + ip + ":" + std::to_string(kReady) + "\"\n";
}

std::string laterSettings(const std::string &ip)
{
    return "caller-address: \"" + ip + ":" + std::to_string(kPackets) + "\"\nplatform: \"" + storeIp()
           + ":28169\"\nstore-writes: 400\nseeds: [\"" + frontIp(0) + ":" + std::to_string(kControl) + "\",\""
           + frontIp(1) + ":" + std::to_string(kControl)
           + "\"]\nflow-lifetime: \"60s\"\nstop-time: \"6s\"\nconfiguration-time: \"3000ms\"\n";
}

program makeProgram(const std::string &binaries, const std::string &work, const std::string &name,
                    const std::string &binary, const std::string &settings)
{
    static int programs = 0;
    const std::string file = work + "/" + name + ".yaml";
    std::FILE *const out = std::fopen(file.c_str(), "w");
    std::fputs(settings.c_str(), out);
    std::fclose(out);
    return {name, binaries + "/" + binary, file, work + "/" + name + ".log", programs++};
}

template<typename test_type>
bool waitFor(double limit, test_type test)
{
    const double until = seconds() + limit;
    while (!test()) {
        if (seconds() > until)
            return false;
        pause(0.02);
    }
    return true;
}

} // namespace

int main(int count, char **arguments)
{
    if (count != 5)
        return 2;
    const std::string binaries = arguments[1], work = arguments[2];
    const bool isTrouble = std::string(arguments[4]) != "0";
    recordFile = std::fopen(arguments[3], "w");
    if (recordFile == nullptr)
        return 2;
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, onTermination);

    store objects;
    router routers;
    bool isListening = false;
    for (int attempt = 0; attempt < 20 && !isListening; ++attempt) {
        network = 20 + int((unsigned(::getpid()) + 37U * unsigned(attempt)) % 200);
        isListening = objects.start(storeIp(), 28169);
    }
    std::vector<upstream *> servers;
    for (int i = 0; isListening && i < kSides; ++i) {
        servers.push_back(new upstream(i));
        isListening = servers.back()->start();
    }
    if (!isListening) {
        record("cannot listen on loopback");
        return 2;
    }
    objects.put("config", "main",
                "{\"version\":3,\"routes\":[{\"name\":\"r-1\",\"host\":\"" + routeIp()
                    + "\",\"path-prefix\":\"/443/\",\"service\":\"desk\","
                      "\"route-type\":\"download\",\"timeout-ms\":8000,\"target-latency-ms\":500,\"priority\":1}],"
                      "\"services\":[{\"name\":\"desk\"}],\"limits\":{\"idle-timeout-ms\":12000}}");

    program balancers[2];
    for (int i = 0; i < 2; ++i)
        balancers[i] =
            makeProgram(binaries, work, "front-" + std::to_string(i + 1), "citroncrank-packet-balancer",
                        commonSettings("front-" + std::to_string(i + 1), frontIp(i)) + "  packets: \"" + frontIp(i)
                            + ":" + std::to_string(kPackets) + "\"\n" + laterSettings(frontIp(i)));
    program agents[kSides];
    for (int i = 0; i < kSides; ++i) {
        const std::string ip = sideIp(i);
        const std::string name = "side-" + std::to_string(i + 1);
        agents[i] =
            makeProgram(binaries, work, name, "citroncrank-packet-agent",
                        commonSettings(name, ip) + "  upstream-packets: \"" + ip + ":" + std::to_string(kOutbound)
                            + "\"\n  announcements: \"" + ip + ":" + std::to_string(kControl)
                            + "\"\nupstream:\n  address: \"" + ip + ":" + std::to_string(kApp)
                            + "\"\n  service: \"desk\"\n  announcement-period: \"770ms\"\n" + laterSettings(ip));
    }
    const auto endAll = [&] {
        isEnding = true;
        for (program &each : balancers)
            each.end();
        for (program &each : agents)
            each.end();
    };
    for (program &each : balancers)
        each.start();
    for (program &each : agents)
        each.start();
    routers.start();
    std::vector<caller *> callers;
    bool canRun = waitFor(15, [&] {
        return routers.isIn(0) && routers.isIn(1) && servers[0]->confirmed() > 0 && servers[1]->confirmed() > 0;
    });
    for (int i = 0; canRun && i < kCallers; ++i) {
        callers.push_back(new caller(i, &routers, servers));
        canRun = callers.back()->start();
    }
    canRun = canRun && waitFor(10, [&] {
                 for (caller *each : callers) {
                     if (!each->isOpen() || each->answered() < 2)
                         return false;
                 }
                 return true;
             });
    if (!canRun) {
        record("the deployment did not start to serve");
        endAll();
        return 2;
    }
    record("all flows are open and answered");
    servers[0]->beatInTwoParts(isTrouble);
    pause(1.0);
    // Planned: the machines are stopped and started in turn, 2.5 s apart.
    std::thread first([&] { balancers[0].restart(); });
    pause(2.5);
    std::thread second([&] { agents[0].restart(); });
    first.join();
    second.join();
    pause(6);
    int resets = 0;
    for (caller *each : callers)
        resets += each->wasReset() ? 1 : 0;
    record("open flows that were reset while their upstream held them: %d of %d", resets, kCallers);
    endAll();
    std::printf("open flows reset while their upstream serves: %d of %d\n", resets, kCallers);
    std::fflush(nullptr);
    std::_Exit(resets > 0 ? 1 : 0);
}
