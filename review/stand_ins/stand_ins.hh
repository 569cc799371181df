#ifndef MULBERRYRUDDER_REVIEW_STAND_INS_HPP
#define MULBERRYRUDDER_REVIEW_STAND_INS_HPP

// Stand-ins for the clients, servers and operators of the platform: blocking sockets, a thread
// each. They follow the pages of the platform; where those are silent they behave like sound ones.

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace stand_ins
{

using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;
using time_point = steady::time_point;

inline time_point const started = steady::now();

/// The log of a run: what was sent, answered and run. Any thread.
class record
{
public:
    explicit record(std::string const& path) : file_(std::fopen(path.c_str(), "w"))
    {
        if (file_ == nullptr)
        {
            std::perror(path.c_str());
            std::exit(2);
        }
    }

    __attribute__((format(printf, 2, 3))) void line(char const* format, ...)
    {
        std::scoped_lock const lock(mutex_);
        std::chrono::duration<double> const at = steady::now() - started;
        std::fprintf(file_, "%8.3f ", at.count());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

private:
    std::FILE* file_;
    std::mutex mutex_;
};

struct address
{
    std::string ip;
    int port = 0;

    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in to_native(address const& it)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(it.port));
    inet_pton(AF_INET, it.ip.c_str(), &out.sin_addr);
    return out;
}

inline bool is_ready(int fd, short events, time_point until)
{
    auto const left = std::chrono::ceil<std::chrono::milliseconds>(until - steady::now()).count();
    pollfd it{.fd = fd, .events = events, .revents = 0};
    return ::poll(&it, 1, static_cast<int>(std::max<long>(left, 0))) > 0;
}

inline bool send_all(int fd, std::string_view bytes, time_point until)
{
    while (!bytes.empty())
    {
        if (!is_ready(fd, POLLOUT, until))
            return false;
        auto const n = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n < 0 && (errno == EAGAIN || errno == EINTR))
            continue;
        if (n <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

/// A request or an answer.
struct message
{
    std::string first_line;
    std::map<std::string, std::string> fields; ///< Names in lower case.
    std::string body;
    bool whole = false;

    int status() const { return first_line.size() > 9 ? std::atoi(first_line.c_str() + 9) : 0; }
    std::string field(std::string const& name) const
    {
        auto const it = fields.find(name);
        return it == fields.end() ? std::string() : it->second;
    }
};

/// A connection. One thread at a time reads, another one may send.
class channel
{
public:
    explicit channel(int fd = -1) : fd_(fd) {}
    ~channel() { close(); }
    channel(channel const&) = delete;
    channel& operator=(channel const&) = delete;

    /// How the connection of a client behaves: a link with small windows is read at a rate.
    struct link
    {
        int receive_buffer = 0;
        int segment = 0;
        double bytes_per_s = 0; ///< 0: as fast as they come.
    };

    bool connect(address const& to, std::chrono::milliseconds limit)
    {
        return connect(to, limit, link());
    }
    bool connect(address const& to, std::chrono::milliseconds limit, link const& how)
    {
        close();
        buf_.clear();
        link_ = how;
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        if (how.receive_buffer != 0)
            ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &how.receive_buffer, sizeof(int));
        if (how.segment != 0)
            ::setsockopt(fd_, IPPROTO_TCP, TCP_MAXSEG, &how.segment, sizeof(int));
        int const on = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        auto const where = to_native(to);
        auto const ec = ::connect(fd_, reinterpret_cast<sockaddr const*>(&where), sizeof where);
        int failed = 0;
        socklen_t size = sizeof failed;
        if (ec == 0)
            return true;
        if (errno != EINPROGRESS || !is_ready(fd_, POLLOUT, steady::now() + limit) ||
            ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &failed, &size) != 0 || failed != 0)
        {
            close();
            return false;
        }
        return true;
    }

    bool is_open() const { return fd_ >= 0; }
    int fd() const { return fd_; }

    bool send(std::string_view bytes, time_point until) { return send_all(fd_, bytes, until); }

    /// Reads one message; `whole` in the result tells whether it came to its end. The cause
    /// of an early end is in `ended`.
    message read(time_point until)
    {
        message out;
        ended.clear();
        std::size_t head = 0;
        while ((head = buf_.find("\r\n\r\n")) == std::string::npos)
            if (!fill(until))
                return out;
        read_head(out, head);
        buf_.erase(0, head + 4);
        if (lower(out.field("transfer-encoding")) == "chunked")
            return read_chunks(std::move(out), until);
        auto const length =
            static_cast<std::size_t>(std::atoll(out.field("content-length").c_str()));
        while (buf_.size() < length)
            if (!fill(until))
                break;
        out.body = buf_.substr(0, length);
        out.whole = buf_.size() >= length;
        buf_.erase(0, length);
        return out;
    }

    /// Reads more bytes; false at the end of the connection or the time.
    bool fill(time_point until)
    {
        if (!is_ready(fd_, POLLIN, until))
        {
            ended = "timed out";
            return false;
        }
        char bytes[16384];
        auto const n = ::recv(fd_, bytes, sizeof bytes, MSG_DONTWAIT);
        if (n < 0 && (errno == EAGAIN || errno == EINTR))
            return true;
        if (n <= 0)
        {
            ended = n == 0 ? "closed" : "reset";
            return false;
        }
        buf_.append(bytes, static_cast<std::size_t>(n));
        received += static_cast<std::size_t>(n);
        if (link_.bytes_per_s > 0)
            std::this_thread::sleep_for(
                std::chrono::duration<double>(static_cast<double>(n) / link_.bytes_per_s));
        return true;
    }

    bool has_buffered() const { return !buf_.empty(); }

    void close()
    {
        if (fd_ >= 0)
            ::close(fd_);
        fd_ = -1;
    }

    std::string ended;
    std::size_t received = 0;

private:
    void read_head(message& out, std::size_t head) const
    {
        auto const text = buf_.substr(0, head);
        auto end = text.find("\r\n");
        out.first_line = text.substr(0, end);
        while (end != std::string::npos)
        {
            auto const from = end + 2;
            end = text.find("\r\n", from);
            auto const row = text.substr(from, end == std::string::npos ? end : end - from);
            auto const colon = row.find(':');
            if (colon == std::string::npos)
                continue;
            auto const value = row.find_first_not_of(' ', colon + 1);
            out.fields[lower(row.substr(0, colon))] =
                value == std::string::npos ? "" : row.substr(value);
        }
    }

    message read_chunks(message out, time_point until)
    {
        while (true)
        {
            std::size_t line = 0;
            while ((line = buf_.find("\r\n")) == std::string::npos)
                if (!fill(until))
                    return out;
            auto const size = std::strtoul(buf_.c_str(), nullptr, 16);
            while (buf_.size() < line + 2 + size + 2)
                if (!fill(until))
                    return out;
            out.body += buf_.substr(line + 2, size);
            buf_.erase(0, line + 2 + size + 2);
            if (size == 0)
            {
                out.whole = true;
                return out;
            }
        }
    }

    int fd_;
    link link_;
    std::string buf_;
};

inline std::string hex(std::uint64_t n)
{
    char buf[17];
    std::snprintf(buf, sizeof buf, "%016llx", static_cast<unsigned long long>(n));
    return buf;
}

/// The signature of an answer: of its attempt, its status and its body.
inline std::string seal_of(std::string const& attempt, int status, std::string const& body)
{
    auto const text = attempt + "." + std::to_string(status) + "." + body;
    return hex(std::hash<std::string>()(text));
}

/// Sends an order until it gets a clear answer, as operators do; returns its status.
inline int order(std::vector<address> const& control, std::string const& method,
                 std::string const& path, std::string const& fields, std::string const& body,
                 std::chrono::seconds limit, std::string* answer = nullptr)
{
    auto const until = steady::now() + limit;
    std::size_t turn = 0;
    std::string redirected;
    while (steady::now() < until)
    {
        auto to = control[turn++ % control.size()];
        for (int hops = 0; hops != 3; ++hops)
        {
            channel way;
            if (!way.connect(to, 1000ms))
                break;
            auto const text =
                method + " " + path + " HTTP/1.1\r\nHost: " + to.text() + "\r\n" + fields +
                "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
                "\r\n\r\n" + body;
            way.send(text, steady::now() + 1s);
            auto const got = way.read(steady::now() + 2s);
            if (!got.whole)
                break;
            if (got.status() == 307)
            {
                auto const where = got.field("location"); // http://IP:PORT/path
                auto const begin = where.find("//") + 2;
                auto const colon = where.find(':', begin);
                to = {where.substr(begin, colon - begin), std::atoi(where.c_str() + colon + 1)};
                continue;
            }
            if (got.status() < 500 && got.status() != 408 && got.status() != 429)
            {
                if (answer != nullptr)
                    *answer = got.body;
                return got.status();
            }
            break;
        }
        std::this_thread::sleep_for(100ms);
    }
    return 0;
}

/// A server of the platform: takes requests, and reports its state to control.
class server
{
public:
    struct options
    {
        std::string id;
        address where;
        std::string service;
        std::string zone;
        int capacity = 8;
        std::vector<address> control;
    };
    /// What a server answers; `pause` is how long it works.
    struct reply
    {
        int status = 200;
        std::string body;
        std::chrono::milliseconds pause{20};
        std::string fields; ///< Further header lines, each with its line end.
    };
    using handler = std::function<reply(message const&)>;

    server(options with, record& log, handler work)
        : with_(std::move(with)), log_(log), work_(std::move(work)),
          born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count())
    {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int const on = 1;
        ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto const where = to_native(with_.where);
        if (::bind(fd_, reinterpret_cast<sockaddr const*>(&where), sizeof where) != 0 ||
            ::listen(fd_, 512) != 0)
        {
            std::perror(with_.where.text().c_str());
            std::exit(2);
        }
        std::thread([this] { accept_all(); }).detach();
        std::thread([this] { report_all(); }).detach();
    }

    /// Runs by attempt id.
    std::map<std::string, int> runs()
    {
        std::scoped_lock const lock(mutex_);
        return runs_;
    }

    std::atomic<bool> reports{true};

private:
    void accept_all()
    {
        while (true)
        {
            int const fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd >= 0)
                std::thread([this, fd] { serve(fd); }).detach();
        }
    }

    void serve(int fd)
    {
        channel way(fd);
        int const on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        while (true)
        {
            auto const asked = way.read(steady::now() + 10s);
            if (!asked.whole)
                return;
            auto const attempt = asked.field("attempt-id");
            auto const expected = asked.field("expect-instance");
            reply out;
            std::string fields = "Attempt-Id: " + attempt + "\r\n";
            if (!expected.empty() && expected != with_.id)
            {
                out = {.status = 421, .body = "", .pause = 0ms, .fields = ""};
                fields += "Not-Executed: 1\r\n";
                log_.line("server %s turns %s away: 421", with_.id.c_str(), attempt.c_str());
            }
            else
            {
                {
                    std::scoped_lock const lock(mutex_);
                    ++runs_[attempt];
                }
                log_.line("server %s runs %s: %s", with_.id.c_str(), attempt.c_str(),
                          asked.first_line.c_str());
                out = work_(asked);
                std::this_thread::sleep_for(out.pause);
                fields += "Server-Seal: " + seal_of(attempt, out.status, out.body) + "\r\n";
            }
            auto const text = "HTTP/1.1 " + std::to_string(out.status) + " Status\r\n" + fields +
                              out.fields + "Content-Length: " + std::to_string(out.body.size()) +
                              "\r\n\r\n" + out.body;
            if (!way.send(text, steady::now() + 30s))
                return;
        }
    }

    void report_all()
    {
        std::size_t turn = 0;
        for (long long sequence = 1;; ++sequence)
        {
            if (reports)
                report(sequence, turn);
            std::this_thread::sleep_for(1500ms);
        }
    }

    void report(long long sequence, std::size_t& turn)
    {
        auto const body =
            "{\"born\":" + std::to_string(born_) + ",\"Address\":\"" + with_.where.text() +
            "\",\"Info\":{\"Service\":\"" + with_.service + "\",\"Version\":\"v1\",\"Zone\":\"" +
            with_.zone + "\",\"Capacity\":" + std::to_string(with_.capacity) +
            "},\"Status\":{\"State\":\"ready\",\"Sequence\":" + std::to_string(sequence) +
            ",\"WarmupLeft\":\"0ms\"}}";
        for (std::size_t n = 0; n != with_.control.size(); ++n, ++turn)
        {
            auto const& to = with_.control[turn % with_.control.size()];
            channel way;
            if (!way.connect(to, 1000ms))
                continue;
            way.send("POST /api/instances/" + with_.id + "/heartbeat HTTP/1.1\r\nHost: " +
                         to.text() + "\r\nContent-Type: application/json\r\nContent-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body,
                     steady::now() + 1s);
            auto const got = way.read(steady::now() + 1s);
            if (got.whole && got.status() / 100 == 2)
                return;
        }
    }

    options with_;
    record& log_;
    handler work_;
    long long born_;
    int fd_ = -1;
    std::mutex mutex_;
    std::map<std::string, int> runs_;
};

/// A route, as the operator's desired state holds it.
struct route
{
    std::string name;
    std::string prefix;
    std::string type = "safe";
    std::string service;
    std::string timeout = "10s";
    int most_servers = 2;
};

/// Returns a desired state without tenants. The limits are those of the platform's example.
inline std::string desired_state(std::string const& version, std::vector<route> const& routes,
                                 std::vector<std::string> const& services)
{
    std::string out = "{\"Version\":\"" + version + "\",\"Routes\":[";
    for (auto const& it : routes)
        out += std::string(&it == routes.data() ? "" : ",") + "{\"Name\":\"" + it.name +
               "\",\"Hostname\":\"desk.example\",\"PathPrefix\":\"" + it.prefix + "\",\"Type\":\"" +
               it.type + "\",\"Timeout\":\"" + it.timeout +
               "\",\"TargetLatency\":\"1s\",\"Priority\":1,\"Service\":\"" + it.service +
               "\",\"MaxAttempts\":" + std::to_string(it.most_servers) +
               ",\"Public\":true,\"Sticky\":false,\"AllowedRegions\":[]}";
    out += "],\"Services\":[";
    for (auto const& it : services)
        out += std::string(&it == services.data() ? "" : ",") + "{\"Name\":\"" + it +
               "\",\"HealthPath\":\"/healthz\",\"MaxConnections\":390,\"Protocol\":\"h1\","
               "\"Tls\":false,\"Warmup\":\"3s\",\"WarmupPerS\":10.0}";
    return out + "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,"
                 "\"HeaderTimeout\":\"3000ms\",\"IdleTimeout\":\"15000ms\"},\"Tenants\":[]}";
}

inline std::string request_text(std::string const& method, std::string const& path,
                                std::string const& attempt, std::chrono::milliseconds deadline,
                                std::string const& body = "")
{
    auto out = method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + attempt +
               "\r\nDeadline-Ms: " + std::to_string(deadline.count()) + "\r\n";
    if (method == "POST" || !body.empty())
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return out + "\r\n" + body;
}

/// Returns whether an answer is the server's whole one to this attempt.
inline bool is_whole_success(message const& it, std::string const& attempt)
{
    return it.whole && it.status() / 100 == 2 &&
           it.field("server-seal") == seal_of(attempt, it.status(), it.body);
}

inline std::string next_attempt()
{
    static std::atomic<std::uint64_t> count{
        static_cast<std::uint64_t>(steady::now().time_since_epoch().count()) << 20U};
    return hex(++count);
}

/// Waits until an entry instance answers a request on a route; false after `limit`.
inline bool wait_until_served(address const& entry, std::string const& path,
                              std::chrono::seconds limit)
{
    auto const until = steady::now() + limit;
    while (steady::now() < until)
    {
        channel way;
        auto const attempt = next_attempt();
        if (way.connect(entry, 500ms) &&
            way.send(request_text("GET", path, attempt, 1000ms), steady::now() + 1s) &&
            is_whole_success(way.read(steady::now() + 2s), attempt))
            return true;
        std::this_thread::sleep_for(100ms);
    }
    return false;
}

} // namespace stand_ins

#endif
