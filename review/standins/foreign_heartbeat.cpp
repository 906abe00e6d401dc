// A heartbeat of another writer, with a field missing, reaches the node beside a living server.
#include "world.h"

using namespace world;

int main(int argc, char **argv)
{
    if (argc < 4) {
        std::cerr << "usage: foreign_heartbeat PROGRAMS FOLDER RECORD\n";
        return 2;
    }
    const bool hasTrouble = !getenv("TROUBLE") || std::string(getenv("TROUBLE")) != "0";
    record.open(argv[3]);
    signal(SIGPIPE, SIG_IGN);

    Deployment d;
    d.programs = argv[1];
    d.folder = argv[2];
    d.network = "127.44";
    d.base = 28200;
    d.seeds = "\"127.44.71.1:28266\", \"127.44.71.2:28266\"";
    const Address route{"127.44.80.1", 443};
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
    Server one(d.server(1, "za", service, "i-1"), "S1");
    Server two(d.server(2, "zb", service, "i-2"), "S2");
    one.startBeating();
    two.startBeating();
    const bool isUp = loop.runUntil(
        [&] {
            return one.confirmedCount() >= 3 && two.confirmedCount() >= 3 && router.isIn("front-za-1")
                   && router.isIn("front-zb-2");
        },
        15);
    if (!isUp) {
        record.line("the deployment did not come up");
        return 2;
    }
    std::vector<std::unique_ptr<Client>> clients;
    for (int i = 1; i <= 12; ++i) {
        clients.push_back(std::make_unique<Client>("c" + std::to_string(i), "za", "127.44.81." + std::to_string(i),
                                                   d.packetPort(), 40000 + i, route, &router));
        clients.back()->open();
        loop.run(0.1);
        clients.back()->request();
        loop.run(0.1);
    }
    loop.run(4.0);
    std::vector<Client *> held;
    for (const auto &c : clients) {
        if (!c->isAnswered()) {
            record.line("the first request of %s was not answered", c->name().c_str());
            return 2;
        }
        if (c->server() == "S1")
            held.push_back(c.get());
    }
    record.line("%zu idle flows are open at server S1", held.size());
    if (held.empty())
        return 2;

    if (hasTrouble) {
        const std::string body =
            "{\"service\":\"" + service + "\",\"address\":\"" + d.app(1).text()
            + "\",\"version\":\"v1\",\"slots\":7,\"state\":\"ready\",\"cold-remaining-ms\":0,\"seq-no\":1,\"born\":"
            + std::to_string(unixMs()) + "}";
        record.line("a heartbeat without `zone` comes from another writer: %s", body.c_str());
        httpCall(d.control(1), "POST", "/-/Instances.Heartbeat/i-x", body, 1.0,
                 [](int status) { record.line("it is answered with status %d", status); });
    }
    loop.run(2.0);
    for (Client *c : held)
        c->request();
    loop.run(4.0);

    int resets = 0, timeouts = 0, answered = 0;
    for (Client *c : held) {
        const bool isReset = c->state() == Client::State::reset;
        resets += isReset && one.holds(c->address(), route) ? 1 : 0;
        timeouts += c->timeouts;
        answered += !isReset && c->isAnswered() ? 1 : 0;
    }
    record.line("flows at server S1: %zu; their second requests answered: %d, without an answer: %d; flows reset while "
                "server S1 "
                "lives and holds them: %d; resets sent by server S1: %zu",
                held.size(), answered, timeouts, resets, one.resetsSent());
    record.line(resets > 0 ? "FLOW is broken" : "FLOW holds");
    return resets > 0 ? 1 : timeouts > 0 ? 2 : 0;
}
