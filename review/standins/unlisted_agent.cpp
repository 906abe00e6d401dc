// The store turns one new machine away; its agent and a balancer are restarted by plan meanwhile.
#include "world.h"

using namespace world;

int main(int argc, char **argv)
{
    if (argc < 4) {
        std::cerr << "usage: unlisted_agent PROGRAMS FOLDER RECORD\n";
        return 2;
    }
    const std::string trouble = getenv("TROUBLE") ? getenv("TROUBLE") : "1";
    const bool restarts = trouble == "1" || trouble == "restart";
    bool isAway = trouble == "1" || trouble == "away";
    record.open(argv[3]);
    signal(SIGPIPE, SIG_IGN);

    Deployment d;
    d.programs = argv[1];
    d.folder = argv[2];
    d.network = "127.49";
    d.base = 28700;
    d.seeds = "\"127.49.71.1:28766\", \"127.49.71.2:28766\"";
    const Address route{"127.49.80.1", 443};
    const Address store3{"127.49.70.3", 28700};
    const std::string service = "svc";

    Store store(d.store());
    store.listenAlso(store3, &isAway);
    store.put("config", "main", configText(3, route, service));
    auto front1 = d.balancer(1, "za"), front2 = d.balancer(2, "zb");
    auto side1 = d.agent(1, "za", service), side2 = d.agent(2, "zb", service);
    auto side3 = d.agent(3, "za", service, store3.text());
    for (const auto &node : {front1.get(), front2.get(), side1.get(), side2.get()})
        node->start();
    Router router;
    router.add({"front-za-1", "za", d.frontPackets(1), d.frontReady(1)});
    router.add({"front-zb-2", "zb", d.frontPackets(2), d.frontReady(2)});
    loop.run(0.5);
    Server one(d.server(1, "za", service, "i-1"), "S1"), two(d.server(2, "zb", service, "i-2"), "S2");
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
    loop.run(3.0);

    const double addedAt = now();
    record.line("machine 3 is added%s", isAway ? "; the store turns it away (503)" : "");
    side3->start();
    loop.run(0.3);
    Server three(d.server(3, "za", service, "i-3"), "S3");
    three.startBeating();
    if (!loop.runUntil([&] { return three.confirmedCount() >= 1; }, 5))
        return 2;
    loop.run(0.3);
    std::vector<std::unique_ptr<Client>> clients;
    for (int i = 1; i <= 24; ++i) {
        clients.push_back(std::make_unique<Client>("c" + std::to_string(i), "za", "127.49.81." + std::to_string(i),
                                                   d.packetPort(), 40000 + i, route, &router));
        clients.back()->open();
        loop.run(0.03);
        clients.back()->request();
    }
    loop.run(0.3);
    std::vector<Client *> held;
    for (const auto &c : clients) {
        if (c->isAnswered() && c->server() == "S3")
            held.push_back(c.get());
    }
    record.line("%zu flows are open at server S3", held.size());
    if (held.empty())
        return 2;

    if (restarts) {
        record.line("planned restart of front-za-1, the only balancer of its zone");
        front1->signal(SIGTERM);
        if (!loop.runUntil([&] { return !router.isIn("front-za-1"); }, 4))
            return 2;
        const std::uint64_t seen = three.confirmedCount();
        if (!loop.runUntil([&] { return three.confirmedCount() > seen; }, 3))
            return 2;
        record.line("planned restart of side-za-3");
        side3->signal(SIGTERM);
        if (!loop.runUntil([&] { return side3->hasEnded(); }, 6))
            return 2;
        record.line("side-za-3 has ended");
    }
    for (Client *c : held)
        c->request();
    loop.run(0.2);
    if (restarts)
        side3->start();
    loop.runUntil(addedAt + 9.0);
    if (isAway)
        record.line("the store serves machine 3 again, 9 s after it was added");
    isAway = false;
    loop.run(2.0);

    int resets = 0, timeouts = 0, answered = 0;
    for (Client *c : held) {
        const bool isReset = c->state() == Client::State::reset;
        resets += isReset && three.holds(c->address(), route) ? 1 : 0;
        timeouts += c->timeouts;
        answered += !isReset && c->isAnswered() ? 1 : 0;
    }
    record.line("flows at server S3: %zu; their second requests answered: %d, without an answer: %d; flows reset while "
                "server S3 "
                "lives and holds them: %d; resets sent by server S3: %zu",
                held.size(), answered, timeouts, resets, three.resetsSent());
    record.line(resets > 0 ? "FLOW is broken" : "FLOW holds");
    return resets > 0 ? 1 : timeouts > 0 ? 2 : 0;
}
