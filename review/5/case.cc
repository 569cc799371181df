// Clients send a further safe request before the answer to the one before it has come, on kept
// channels, 8 ms from the entry instance, which gets SIGTERM meanwhile.

#include "slow_link.hh"

#include <csignal>

using namespace stand_ins;

namespace
{

constexpr int clients = 8;
constexpr std::size_t answer_size = 30'000;
constexpr auto deadline = 8000ms;
/// How long a server works on a request.
constexpr auto work_time = 80ms;

} // namespace

int main(int argc, char** argv)
{
    if (argc != 5)
        return 2;
    std::string const net = argv[1];
    auto const entry_process = static_cast<pid_t>(std::atoi(argv[2]));
    bool const trouble = std::string(argv[3]) != "0";
    record log(argv[4]);
    std::vector<address> const control{
        {net + ".11", 8667}, {net + ".12", 8667}, {net + ".13", 8667}};
    address const entry{net + ".21", 8668};
    // 4 Mbit/s to each client.
    slow_link const link(
        {.listen = {net + ".41", 8668},
         .to = entry,
         .delay = 8ms,
         .to_client = {.receive_buffer = 4096, .segment = 1460, .bytes_per_s = 500'000}});

    std::string const long_body(answer_size, 'x');
    auto const work = [&](message const& asked) -> server::reply
    {
        bool const is_long = asked.first_line.find("/splits/long") != std::string::npos;
        return {.body = is_long ? long_body : "ready", .pause = work_time};
    };
    server const first({.id = "i-1",
                        .where = {net + ".31", 8080},
                        .service = "splits",
                        .zone = "cairo-a",
                        .capacity = 16,
                        .control = control},
                       log, work);
    server const second({.id = "i-2",
                         .where = {net + ".32", 8080},
                         .service = "splits",
                         .zone = "cairo-a",
                         .capacity = 16,
                         .control = control},
                        log, work);
    auto const plan = desired_state(
        "r1", {{.name = "r-splits", .prefix = "/splits/", .service = "splits"}}, {"splits"});
    auto const status =
        order(control, "POST", "/api/config/replace", "Base-Version: r0\r\n", plan, 20s);
    log.line("desired state r1: %d", status);
    if (status != 200 || !wait_until_served(entry, "/splits/ready", 20s))
        return 2;

    std::atomic<int> lost = 0;
    std::vector<std::thread> threads;
    auto const start = steady::now() + 300ms;
    for (int n = 0; n != clients; ++n)
        threads.emplace_back(
            [&, n]
            {
                channel way;
                if (!way.connect({net + ".41", 8668}, 1000ms))
                    return;
                auto const one = next_attempt();
                way.send(request_text("GET", "/splits/ready", one, deadline), start);
                if (!is_whole_success(way.read(start + deadline), one))
                    return log.line("client %d: no first answer", n);
                std::this_thread::sleep_until(start + 4ms * n);
                auto const two = next_attempt();
                auto const sent = steady::now();
                way.send(request_text("GET", "/splits/long", two, deadline), sent + 1s);
                log.line("client %d sends %s on its kept channel", n, two.c_str());
                // An answer takes 16 ms of links and the server's work at least.
                std::this_thread::sleep_until(sent + work_time + 11ms);
                auto const three = next_attempt();
                bool const before = !way.has_buffered() && !is_ready(way.fd(), POLLIN, sent);
                if (before)
                    way.send(request_text("GET", "/splits/ready", three, deadline), sent + 1s);
                log.line("client %d %s %s behind it, before an answer", n,
                         before ? "sends" : "DOES NOT SEND", three.c_str());
                auto const got = way.read(sent + deadline);
                bool const answered = is_whole_success(got, two);
                lost += answered ? 0 : 1;
                log.line("client %d: %s to %s, status %d, %zu of %s bytes%s%s", n,
                         answered ? "whole answer" : "NO WHOLE ANSWER", two.c_str(), got.status(),
                         got.body.size(), got.field("content-length").c_str(),
                         way.ended.empty() ? "" : ", channel ", way.ended.c_str());
            });
    std::this_thread::sleep_until(start + 50ms);
    if (trouble)
    {
        log.line("SIGTERM to the entry instance; Grace is 6 s");
        ::kill(entry_process, SIGTERM);
    }
    for (auto& it : threads)
        it.join();
    log.line("%d of %d requests that were passed on got no whole answer", lost.load(), clients);
    std::_Exit(lost == 0 ? 0 : 1);
}
