#ifndef MULBERRYRUDDER_REVIEW_SLOW_LINK_HPP
#define MULBERRYRUDDER_REVIEW_SLOW_LINK_HPP

#include "stand_ins.hh"

#include <condition_variable>
#include <deque>

namespace stand_ins
{

/// A loopback proxy that stands for the link of a client: each direction has a delay, and the way
/// to the client a bandwidth and a small window. An end or a reset of the far side is passed on
/// behind the bytes that came before it.
class slow_link
{
public:
    struct options
    {
        address listen;
        address to;
        std::chrono::milliseconds delay{8};
        channel::link to_client;
    };

    explicit slow_link(options with) : with_(std::move(with))
    {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int const on = 1;
        ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto const where = to_native(with_.listen);
        if (::bind(fd_, reinterpret_cast<sockaddr const*>(&where), sizeof where) != 0 ||
            ::listen(fd_, 128) != 0)
        {
            std::perror(with_.listen.text().c_str());
            std::exit(2);
        }
        std::thread(
            [this]
            {
                while (true)
                {
                    int const fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
                    if (fd >= 0)
                        std::thread([this, fd] { carry(fd); }).detach();
                }
            })
            .detach();
    }

private:
    struct pair
    {
        int near = -1;
        channel far;
        ~pair() { ::close(near); }
    };

    void carry(int near)
    {
        int const on = 1;
        ::setsockopt(near, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        auto const both = std::make_shared<pair>();
        both->near = near;
        if (!both->far.connect(with_.to, 1000ms, with_.to_client))
            return;
        auto const delay = with_.delay;
        std::thread([both, delay] { pass(both->near, both->far.fd(), delay, 0, both); }).detach();
        pass(both->far.fd(), both->near, delay, with_.to_client.bytes_per_s, both);
    }

    struct piece
    {
        time_point due;
        std::string bytes;
        bool last = false;
    };

    /// Reads on this thread, and writes after the delay on another one.
    static void pass(int from, int to, std::chrono::milliseconds delay, double bytes_per_s,
                     std::shared_ptr<pair> const& both)
    {
        struct queue
        {
            std::mutex mutex;
            std::condition_variable changed;
            std::deque<piece> pieces;
        };
        auto const line = std::make_shared<queue>();
        std::thread(
            [line, to, both]
            {
                while (true)
                {
                    std::unique_lock lock(line->mutex);
                    line->changed.wait(lock, [&] { return !line->pieces.empty(); });
                    auto const next = std::move(line->pieces.front());
                    line->pieces.pop_front();
                    lock.unlock();
                    std::this_thread::sleep_until(next.due);
                    if (next.last || !send_all(to, next.bytes, steady::now() + 30s))
                        break;
                }
                ::shutdown(to, SHUT_WR);
            })
            .detach();
        while (true)
        {
            char bytes[4096];
            if (!is_ready(from, POLLIN, steady::now() + 60s))
                break;
            auto const n = ::recv(from, bytes, sizeof bytes, MSG_DONTWAIT);
            if (n < 0 && (errno == EAGAIN || errno == EINTR))
                continue;
            if (n <= 0)
                break;
            {
                std::scoped_lock const lock(line->mutex);
                line->pieces.push_back({.due = steady::now() + delay,
                                        .bytes = std::string(bytes, static_cast<std::size_t>(n))});
            }
            line->changed.notify_one();
            if (bytes_per_s > 0)
                std::this_thread::sleep_for(
                    std::chrono::duration<double>(static_cast<double>(n) / bytes_per_s));
        }
        std::scoped_lock const lock(line->mutex);
        line->pieces.push_back({.due = steady::now() + delay, .bytes = {}, .last = true});
        line->changed.notify_one();
    }

    options with_;
    int fd_ = -1;
};

} // namespace stand_ins

#endif
