// Late heartbeats of a crashed boot reach the node of its machine right after a planned restart of that node.
#include "world.h"

using namespace world;

int main(int argc, char **argv)
{
    if (argc < 4) {
        std::cerr << "usage: late_heartbeats PROGRAMS FOLDER RECORD\n";
        return 2;
    }
    const std::string trouble = getenv("TROUBLE") ? getenv("TROUBLE") : "1";
    const bool restarts = trouble == "1" || trouble == "restart";
    const bool isLate = trouble == "1" || trouble == "late";
    record.open(argv[3]);
    signal(SIGPIPE, SIG_IGN);

    Deployment d;
    d.programs = argv[1];
    d.folder = argv[2];
    d.network = "127.43";
    d.seeds = "\"127.43.71.1:28166\", \"127.43.71.2:28166\"";
    const Address route{"127.43.80.1", 443};
    const std::string service = "svc";

    Store store(d.store());
    store.put("config", "main", configText(3, route, service));
    auto front1 = d.balancer(1, "za"), front2 = d.balancer(2, "zb");
    auto side1 = d.agent(1, "za", service), side2 = d.agent(2, "zb", service);
    for (const auto &node : {front1.get(), front2.get(), side1.get(), side2.get()})
        node->start();
    Router router;
    router.add({"front-za-1", "za", d.frontPackets(1), d.frontReady(1)});
    router.add({"front-zb-2", "zb", d.frontPackets(2), d.frontReady(2)});
    loop.run(0.5);

    Server other(d.server(2, "zb", service, "i-2"), "S2");
    other.startBeating();

    // The first boot at machine 1. A partition holds up its heartbeats; then it crashes.
    struct Beat
    {
        std::string target, body;
    };
    std::vector<Beat> held;
    auto bootA = std::make_unique<Server>(d.server(1, "za", service, "i-a"), "A");
    bootA->startBeating([&](const std::string &target, const std::string &body) {
        held.push_back({target, body});
        record.line("heartbeat of server A is held up by a partition: %s", body.c_str());
    });
    loop.run(2.6);
    record.line("server A crashes");
    bootA.reset();
    loop.run(0.5);

    // The next boot at the same address registers and serves.
    Server bootB(d.server(1, "za", service, "i-b"), "B");
    bootB.startBeating();
    const bool isUp = loop.runUntil(
        [&] {
            return bootB.confirmedCount() >= 3 && other.confirmedCount() >= 3 && router.isIn("front-za-1")
                   && router.isIn("front-zb-2");
        },
        15);
    if (!isUp) {
        record.line("the deployment did not come up");
        return 2;
    }

    std::vector<std::unique_ptr<Client>> clients;
    for (int i = 1; i <= 12; ++i) {
        clients.push_back(std::make_unique<Client>("c" + std::to_string(i), "za", "127.43.81." + std::to_string(i),
                                                   d.packetPort(), 40000 + i, route, &router));
        clients.back()->open();
        loop.run(0.1);
        clients.back()->request();
        loop.run(0.1);
    }
    loop.run(3.0);
    std::vector<Client *> onB;
    for (const auto &c : clients) {
        if (!c->isAnswered()) {
            record.line("the first request of %s was not answered", c->name().c_str());
            return 2;
        }
        if (c->server() == "B")
            onB.push_back(c.get());
    }
    record.line("%zu idle flows are open at server B", onB.size());
    if (onB.empty())
        return 2;

    const std::uint64_t seen = bootB.confirmedCount();
    loop.runUntil([&] { return bootB.confirmedCount() > seen; }, 3);
    if (restarts) {
        record.line("planned restart of side-za-1");
        side1->signal(SIGTERM);
        if (!loop.runUntil([&] { return side1->hasEnded(); }, 6)) {
            record.line("side-za-1 did not end within its grace period");
            return 2;
        }
        record.line("side-za-1 has ended");
        loop.run(0.1);
        side1->start();
        if (!loop.runUntil([&] { return accepts(d.control(1)); }, 5))
            return 2;
    }
    if (isLate) {
        for (const Beat &beat : held) {
            bool isAnswered = false;
            record.line("a held-up heartbeat of server A arrives: %s", beat.body.c_str());
            httpCall(d.control(1), "POST", beat.target, beat.body, 1.0, [&](int status) {
                record.line("it is answered with status %d", status);
                isAnswered = true;
            });
            loop.runUntil([&] { return isAnswered; }, 1.5);
        }
    }
    // Longer than stable-window-ms (4 s): every machine is in touch again.
    loop.run(6.0);

    for (Client *c : onB)
        c->request();
    loop.run(4.0);

    int resets = 0, timeouts = 0, answered = 0;
    for (Client *c : onB) {
        const bool isReset = c->state() == Client::State::reset;
        resets += isReset && bootB.holds(c->address(), route) ? 1 : 0;
        timeouts += c->timeouts;
        answered += !isReset && c->isAnswered() ? 1 : 0;
    }
    record.line(
        "flows at server B: %zu; their second requests answered: %d, without an answer: %d; flows reset while server B "
        "lives and holds them: %d; resets sent by server B: %zu",
        onB.size(), answered, timeouts, resets, bootB.resetsSent());
    const bool isBroken = resets > 0;
    record.line(isBroken ? "FLOW is broken" : "FLOW holds");
    return isBroken ? 1 : timeouts > 0 ? 2 : 0;
}
