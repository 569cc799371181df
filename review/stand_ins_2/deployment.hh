#ifndef MULBERRYRUDDER_REVIEW_STAND_INS_2_DEPLOYMENT_HH
#define MULBERRYRUDDER_REVIEW_STAND_INS_2_DEPLOYMENT_HH

// A small deployment for the cases of the second review: the project's daemons as separate
// processes on loopback addresses, and stand-ins for servers, consumers and the operator.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review
{

/// Exit codes of a case.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

struct setup_failed
{
    std::string why;
};

inline std::chrono::steady_clock::time_point const begun = std::chrono::steady_clock::now();

/// Returns the seconds since the program started.
inline double now()
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - begun).count();
}

inline void sleep_until(double when)
{
    if (when > now())
        std::this_thread::sleep_for(std::chrono::duration<double>(when - now()));
}

inline void sleep_for(double seconds)
{
    sleep_until(now() + seconds);
}

/// Writes record.txt: one line for each thing that was sent, answered or run.
///
/// Thread safety: any thread.
class recorder
{
public:
    explicit recorder(std::string const& path) : out_(path) {}

    void line(std::string const& text)
    {
        std::lock_guard const lock(mutex_);
        char buf[32];
        std::snprintf(buf, sizeof buf, "%9.3f  ", now());
        out_ << buf << text << "\n";
        out_.flush();
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
};

inline std::uint64_t random_number()
{
    static std::mutex mutex;
    static std::mt19937_64 source{std::random_device{}()};
    std::lock_guard const lock(mutex);
    return source();
}

inline std::string random_id(std::string const& prefix)
{
    char buf[32];
    std::snprintf(buf, sizeof buf, "%016llx", static_cast<unsigned long long>(random_number()));
    return prefix + buf;
}

struct address
{
    std::string ip;
    int port;

    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline address parse_address(std::string const& text)
{
    auto const colon = text.rfind(':');
    return {text.substr(0, colon), std::atoi(text.c_str() + colon + 1)};
}

inline sockaddr_in socket_address(address const& where)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(where.port));
    inet_pton(AF_INET, where.ip.c_str(), &out.sin_addr);
    return out;
}

/// A blocking socket whose operations have a common deadline.
class connection
{
public:
    explicit connection(int fd = -1) : fd_(fd) {}
    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;
    ~connection() { close(); }

    bool open(address const& to, double deadline)
    {
        close();
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        auto const where = socket_address(to);
        if (::connect(fd_, reinterpret_cast<sockaddr const*>(&where), sizeof where) == 0)
            return true;
        if (errno != EINPROGRESS || !wait(POLLOUT, deadline))
            return false;
        int error = 0;
        socklen_t size = sizeof error;
        ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
        return error == 0;
    }

    bool send(std::string const& bytes, double deadline)
    {
        std::size_t sent = 0;
        while (sent != bytes.size())
        {
            auto const n = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n > 0)
                sent += static_cast<std::size_t>(n);
            else if (errno != EAGAIN || !wait(POLLOUT, deadline))
                return false;
        }
        return true;
    }

    /// Reads up to the end of a line, which is removed.
    bool read_line(std::string& out, double deadline)
    {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n")) == std::string::npos)
            if (!read_more(deadline))
                return false;
        out = buffer_.substr(0, end);
        buffer_.erase(0, end + 2);
        return true;
    }

    bool read_bytes(std::string& out, std::size_t count, double deadline)
    {
        while (buffer_.size() < count)
            if (!read_more(deadline))
                return false;
        out = buffer_.substr(0, count);
        buffer_.erase(0, count);
        return true;
    }

    void close()
    {
        if (fd_ >= 0)
            ::close(fd_);
        fd_ = -1;
        buffer_.clear();
    }

private:
    bool wait(short events, double deadline) const
    {
        auto const left = static_cast<int>((deadline - now()) * 1000);
        pollfd state{fd_, events, 0};
        return left > 0 && ::poll(&state, 1, left) == 1;
    }

    bool read_more(double deadline)
    {
        char buf[16384];
        while (true)
        {
            auto const n = ::recv(fd_, buf, sizeof buf, 0);
            if (n > 0)
            {
                buffer_.append(buf, static_cast<std::size_t>(n));
                return true;
            }
            if (n == 0 || errno != EAGAIN || !wait(POLLIN, deadline))
                return false;
        }
    }

    int fd_;
    std::string buffer_;
};

struct message
{
    std::string first_line;
    std::map<std::string, std::string> fields; ///< Names in lower case.
    std::string body;

    int status() const { return first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0; }
    std::string field(std::string const& name) const
    {
        auto const it = fields.find(name);
        return it == fields.end() ? std::string() : it->second;
    }
};

/// Reads a message whose body has a length.
inline bool read_message(connection& from, message& out, double deadline)
{
    if (!from.read_line(out.first_line, deadline))
        return false;
    std::string line;
    while (true)
    {
        if (!from.read_line(line, deadline))
            return false;
        if (line.empty())
            break;
        auto const colon = line.find(':');
        auto name = line.substr(0, colon);
        for (auto& c : name)
            c = static_cast<char>(std::tolower(c));
        auto const value = line.find_first_not_of(' ', colon + 1);
        out.fields[name] = value == std::string::npos ? "" : line.substr(value);
    }
    auto const length = static_cast<std::size_t>(std::atoll(out.field("content-length").c_str()));
    return from.read_bytes(out.body, length, deadline);
}

/// Sends one request on a connection of its own; the status is 0 without a whole answer.
inline message call(address const& to, std::string const& method, std::string const& path,
                    std::string const& fields, std::string const& body, double timeout)
{
    auto const deadline = now() + timeout;
    connection way;
    message out;
    std::ostringstream text;
    text << method << ' ' << path << " HTTP/1.1\r\nConnection: close\r\n" << fields;
    if (fields.find("Host:") == std::string::npos)
        text << "Host: " << to.text() << "\r\n";
    if (!body.empty())
        text << "Content-Type: application/json\r\n";
    text << "Content-Length: " << body.size() << "\r\n\r\n" << body;
    if (!way.open(to, deadline) || !way.send(text.str(), deadline) ||
        !read_message(way, out, deadline))
        return {};
    return out;
}

struct place
{
    char const* zone;
    char const* region;
};

constexpr place places[] = {{"cairo-a", "cairo"}, {"delta-a", "delta"}, {"upper-a", "upper"},
                            {"cairo-b", "cairo"}, {"delta-b", "delta"}, {"upper-b", "upper"}};
constexpr int place_count = 6;

/// A machine of the system and the process on it.
struct machine
{
    std::string role; ///< "control" or "entry", as in the names of the deploy folder.
    int place;
    std::string ip;
    pid_t pid = 0;

    address control() const { return {ip, 8667}; }
    address directory() const { return {ip, 8669}; }
    address frontend() const { return {ip, 8668}; }
    address readiness() const { return {ip, 8666}; }
};

/// Returns the memory of a process's own pages, in kB; 0 if it has ended.
inline long memory_of(pid_t pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(in, line);)
        if (line.rfind("VmRSS:", 0) == 0)
            return std::atol(line.c_str() + 6);
    return 0;
}

/// The project's daemons, one control instance and one entry or more a zone, with settings made
/// from the templates of the deploy folder. All of them are ended with it.
class deployment
{
public:
    deployment(std::string repository, recorder& record, int entries_a_zone)
        : repository_(std::move(repository)), record_(record)
    {
        char folder[] = "/tmp/review-XXXXXX";
        if (::mkdtemp(folder) == nullptr)
            throw setup_failed{"no temporary folder"};
        folder_ = folder;
        choose_network();
        for (int n = 0; n != place_count; ++n)
            control_.push_back({"control", n, ip(n, 10)});
        for (int n = 0; n != place_count * entries_a_zone; ++n)
            entries_.push_back(
                {"entry", n % place_count, ip(n % place_count, 20 + n / place_count)});
    }

    ~deployment()
    {
        for (auto* const it : all())
            kill(*it, SIGKILL);
        for (auto* const it : all())
            reap(*it);
        std::error_code ec;
        std::filesystem::remove_all(folder_, ec);
    }

    std::vector<machine>& control() { return control_; }
    std::vector<machine>& entries() { return entries_; }
    std::vector<machine*> all()
    {
        std::vector<machine*> out;
        for (auto& it : control_)
            out.push_back(&it);
        for (auto& it : entries_)
            out.push_back(&it);
        return out;
    }

    /// Returns a free address of a server in a zone.
    address server_address(int zone, int number) const { return {ip(zone, 100 + number), 8080}; }

    void start(machine& it, bool first)
    {
        auto const settings = write_settings(it, first);
        auto const program = repository_ + "/target/bin/mulberryrudder-platform-" + it.role;
        auto const log = settings + ".log";
        auto const variable = "MULBERRYRUDDER_CONFIG=" + settings;
        it.pid = ::fork();
        if (it.pid != 0)
        {
            record_.line("start " + it.role + " " + it.ip);
            return;
        }
        // The daemons end with the case, also if it is killed. Called by the main thread only.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        int const out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, 1);
        ::dup2(out, 2);
        if (::chdir(repository_.c_str()) != 0)
            ::_exit(127);
        char path[] = "PATH=/usr/bin:/bin";
        char* const arguments[] = {const_cast<char*>(program.c_str()), nullptr};
        char* const environment[] = {path, const_cast<char*>(variable.c_str()), nullptr};
        ::execve(program.c_str(), arguments, environment);
        ::_exit(127);
    }

    void kill(machine& it, int signal)
    {
        if (it.pid > 0)
            ::kill(it.pid, signal);
    }

    void reap(machine& it)
    {
        if (it.pid > 0)
            ::waitpid(it.pid, nullptr, 0);
        it.pid = 0;
    }

    /// Does as the platform does: kills a process that uses more than its machine's memory, and
    /// starts it again after a short delay. Bytes that wait in its sockets are not counted. Returns
    /// whether it was killed.
    bool keep_within_memory(machine& it, long most_kb)
    {
        auto const used = memory_of(it.pid);
        if (used <= most_kb)
            return false;
        record_.line("the platform kills " + it.role + " " + it.ip + ", which uses " +
                     std::to_string(used) + " kB of " + std::to_string(most_kb));
        kill(it, SIGKILL);
        reap(it);
        sleep_for(0.3);
        start(it, false);
        return true;
    }

    /// Throws if a process has ended by itself.
    void check_alive()
    {
        for (auto* const it : all())
            if (it->pid > 0 && ::waitpid(it->pid, nullptr, WNOHANG) != 0)
            {
                it->pid = 0;
                throw setup_failed{it->role + " " + it->ip + " ended by itself"};
            }
    }

    /// Sends an order as the operator does: to any control instance, again without an answer.
    message order(std::string const& method, std::string const& path, std::string const& fields,
                  std::string const& body, double patience)
    {
        auto const until = now() + patience;
        message answer;
        for (auto n = random_number(); now() < until; ++n)
        {
            auto to = control_[n % control_.size()].control();
            auto at = path;
            for (int hops = 0; hops != 3; ++hops)
            {
                answer = call(to, method, at, fields, body, 1);
                auto const location = answer.field("location");
                if (answer.status() != 307 || location.rfind("http://", 0) != 0)
                    break;
                auto const slash = location.find('/', 7);
                to = parse_address(location.substr(7, slash - 7));
                at = location.substr(slash);
            }
            if (answer.status() >= 200 && answer.status() < 500 && answer.status() != 307 &&
                answer.status() != 408 && answer.status() != 429)
                break;
            sleep_for(0.1);
        }
        record_.line("order " + method + " " + path + " answered " +
                     std::to_string(answer.status()));
        return answer;
    }

private:
    std::string ip(int zone, int host) const
    {
        return "127." + std::to_string(network_) + "." + std::to_string(zone + 1) + "." +
               std::to_string(host);
    }

    /// Chooses a part of the loopback range whose addresses nobody uses.
    void choose_network()
    {
        for (int tries = 0; tries != 50; ++tries)
        {
            network_ = 64 + static_cast<int>(random_number() % 128);
            bool is_free = true;
            for (int zone = 0; zone != place_count && is_free; ++zone)
                for (int const port : {7220, 8666, 8667, 8668, 8669, 9464})
                    is_free = is_free && can_bind({ip(zone, 10), port});
            if (is_free)
                return;
        }
        throw setup_failed{"no free ports"};
    }

    static bool can_bind(address const& at)
    {
        int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto const where = socket_address(at);
        bool const out = ::bind(fd, reinterpret_cast<sockaddr const*>(&where), sizeof where) == 0;
        ::close(fd);
        return out;
    }

    static void replace(std::string& text, std::string const& from, std::string const& to)
    {
        for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at))
        {
            text.replace(at, from.size(), to);
            at += to.size();
        }
    }

    std::string write_settings(machine const& it, bool first) const
    {
        std::ifstream in(repository_ + "/deploy/" + it.role + ".json");
        std::stringstream read;
        read << in.rdbuf();
        auto text = read.str();
        std::string zones;
        for (auto const& each : places)
            zones += std::string(zones.empty() ? "" : ",") + "{\"domain\": \"" + each.zone +
                     "\", \"region\": \"" + each.region + "\"}";
        auto const section = text.find("{{#Zones}}");
        std::string const section_end = "{{/Zones}}";
        if (section == std::string::npos)
            throw setup_failed{"the template has no section of zones"};
        text.replace(section, text.find(section_end) + section_end.size() - section, zones);
        std::string seeds;
        for (int n = 0; n != 3; ++n)
            seeds += std::string(n == 0 ? "" : ",") + "\"" + control_[n].control().text() + "\"";
        auto const disk = folder_ + "/disk-" + it.ip;
        std::filesystem::create_directories(disk);
        replace(text, "{{Region}}", places[it.place].region);
        replace(text, "{{Zone}}", places[it.place].zone);
        replace(text, "{{Ip}}", it.ip);
        replace(text, "{{PortRange.0}}", "7220");
        replace(text, "{{Listen.Frontend}}", it.frontend().text());
        replace(text, "{{Listen.Readiness}}", it.readiness().text());
        replace(text, "{{Listen.Control}}", it.control().text());
        replace(text, "{{Listen.Directory}}", it.directory().text());
        replace(text, "{{Seeds|json}}", "[" + seeds + "]");
        replace(text, "{{Bootstrap|json}}", first ? "true" : "false");
        replace(text, "{{FaultTolerance.Machines}}", "1");
        replace(text, "{{DataDir}}", disk);
        if (text.find("{{") != std::string::npos)
            throw setup_failed{"the template has a placeholder that is not known here"};
        auto const name = folder_ + "/" + it.role + "-" + it.ip + ".json";
        std::ofstream(name) << text;
        return name;
    }

    std::string repository_;
    recorder& record_;
    std::string folder_;
    int network_ = 0;
    std::vector<machine> control_;
    std::vector<machine> entries_;
};

inline std::string seal_of(std::string const& attempt)
{
    return "s." + attempt;
}

inline std::string body_of(std::string const& attempt)
{
    return "result of " + attempt;
}

/// A request that a server ran.
struct run
{
    std::string attempt;
    double at;
};

/// A stand-in for a server: it runs requests for some time each, and reports to control.
class server
{
public:
    server(deployment& in, recorder& record, std::string service, int zone, address where,
           double work)
        : in_(in), record_(record), service_(std::move(service)), zone_(zone),
          where_(std::move(where)), work_(work), id_(random_id("i-")),
          born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count())
    {
        listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int const on = 1;
        ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto const at = socket_address(where_);
        if (::bind(listener_, reinterpret_cast<sockaddr const*>(&at), sizeof at) != 0 ||
            ::listen(listener_, 512) != 0)
            throw setup_failed{"cannot listen on " + where_.text()};
        threads_.emplace_back([this] { accept(); });
        threads_.emplace_back([this] { report(); });
    }

    ~server()
    {
        ended_ = true;
        ::shutdown(listener_, SHUT_RDWR);
        for (auto& it : threads_)
            it.join();
        ::close(listener_);
        while (serving_ != 0)
            sleep_for(0.01);
    }

    std::string const& id() const { return id_; }

    /// Returns a status report, with the next sequence number.
    std::string status_report()
    {
        std::ostringstream out;
        out << "{\"Address\":\"" << where_.text() << "\",\"Info\":{\"Service\":\"" << service_
            << "\",\"Version\":\"v1\",\"Zone\":\"" << places[zone_].zone
            << "\",\"Capacity\":6},\"Status\":{\"State\":\"ready\",\"Sequence\":" << ++sequence_
            << ",\"WarmupLeft\":\"0ms\"},\"born\":" << born_ << "}";
        return out.str();
    }

    /// Sends a status report until a daemon takes it; returns whether one did.
    bool send_report(std::string const& text) { return send("heartbeat", text); }

    /// Says that the server leaves, without a report of `draining` before; returns whether that
    /// was acknowledged. It goes on serving.
    bool deregister()
    {
        reports_ = false;
        return send("deregister", "{\"born\":" + std::to_string(born_) + "}");
    }

    /// Lets a part of the answers be followed by additional bytes, which come late: where the next
    /// answer on the channel is expected.
    void send_extra(std::string bytes, unsigned per_mille)
    {
        extra_ = std::move(bytes);
        extra_per_mille_ = per_mille;
    }

    void stop_extra() { extra_per_mille_ = 0; }

    std::vector<run> runs()
    {
        std::lock_guard const lock(mutex_);
        return runs_;
    }

private:
    bool send(std::string const& verb, std::string const& body)
    {
        auto const first = random_number();
        for (std::size_t n = 0; n != in_.control().size(); ++n)
        {
            auto const& to = in_.control()[(first + n) % in_.control().size()];
            auto const status =
                call(to.control(), "POST", "/api/instances/" + id_ + "/" + verb, "", body, 1)
                    .status();
            if (status >= 200 && status < 300)
                return true;
        }
        return false;
    }

    void report()
    {
        for (double next = now(); !ended_; sleep_for(0.02))
            if (reports_ && now() >= next)
            {
                next = now() + 1.5;
                send_report(status_report());
            }
    }

    void accept()
    {
        while (!ended_)
        {
            int const fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
            if (fd < 0)
                continue;
            ++serving_;
            std::thread(
                [this, fd]
                {
                    serve(fd);
                    --serving_;
                })
                .detach();
        }
    }

    void serve(int fd)
    {
        connection from(fd);
        message asked;
        bool extra_due = false;
        while (!ended_ && read_message(from, asked, now() + 10))
        {
            if (extra_due && extra_per_mille_ != 0)
            {
                record_.line("server " + id_ + " sends extra bytes behind an answer, late");
                from.send(extra_, now() + 1);
            }
            auto const attempt = asked.field("attempt-id");
            auto const expected = asked.field("expect-instance");
            if (!expected.empty() && expected != id_)
            {
                if (!from.send("HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\n"
                               "Content-Length: 0\r\n\r\n",
                               now() + 1))
                    return;
                asked = {};
                continue;
            }
            {
                std::lock_guard const lock(mutex_);
                runs_.push_back({attempt, now()});
            }
            record_.line("server " + id_ + " runs " + attempt);
            sleep_for(work_);
            auto const body = body_of(attempt);
            if (!from.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Seal: " +
                               seal_of(attempt) + "\r\nServer-Load: 1,0,6\r\nContent-Length: " +
                               std::to_string(body.size()) + "\r\n\r\n" + body,
                           now() + 5))
                return;
            asked = {};
            extra_due = random_number() % 1000 < extra_per_mille_;
        }
    }

    deployment& in_;
    recorder& record_;
    std::string service_;
    int zone_;
    address where_;
    double work_;
    std::string id_;
    std::int64_t born_;
    std::atomic<std::int64_t> sequence_{0};
    std::atomic<bool> ended_{false};
    std::atomic<bool> reports_{true};
    std::atomic<int> serving_{0};
    std::string extra_; ///< Set before extra_per_mille_.
    std::atomic<unsigned> extra_per_mille_{0};
    int listener_ = -1;
    std::mutex mutex_;
    std::vector<run> runs_;
    std::vector<std::thread> threads_;
};

/// Asks the directory where consumers of a zone connect. Returns the entries that it names, or
/// those that were known before.
inline std::vector<address> look_up(deployment& in, int zone, std::vector<address> known)
{
    auto const path = std::string("/api/resolve?Name=shop.example&Region=") + places[zone].region +
                      "&Zone=" + places[zone].zone;
    for (int tries = 0; tries != 3; ++tries)
    {
        auto const& from = in.control()[(zone + tries) % in.control().size()];
        auto const answer = call(from.directory(), "GET", path, "", "", 1);
        auto at = answer.body.find("\"Addresses\":[");
        if (answer.status() != 200 || at == std::string::npos)
            continue;
        at += 13;
        std::vector<address> out;
        for (auto const end = answer.body.find(']', at); at < end;)
        {
            auto const first = answer.body.find('"', at);
            if (first > end)
                break;
            auto const last = answer.body.find('"', first + 1);
            out.push_back(parse_address(answer.body.substr(first + 1, last - first - 1)));
            at = last + 1;
        }
        return out;
    }
    return known;
}

/// A request of a consumer.
struct sent_request
{
    double at;
    std::string entry;
    int status;
    bool is_whole; ///< A success with the server's seal and whole body for this request.
};

/// A stand-in for consumers: they ask the directory, and send safe requests to the entries that
/// it names.
class consumers
{
public:
    consumers(deployment& in, recorder& record, int count, double pause)
        : in_(in), record_(record), pause_(pause)
    {
        for (int n = 0; n != count; ++n)
            threads_.emplace_back([this, n] { work(n % place_count); });
    }

    ~consumers() { stop(); }

    void stop()
    {
        ended_ = true;
        for (auto& it : threads_)
            it.join();
        threads_.clear();
    }

    std::map<std::string, sent_request> sent()
    {
        std::lock_guard const lock(mutex_);
        return sent_;
    }

private:
    void work(int zone)
    {
        std::vector<address> known;
        double valid_until = 0;
        while (!ended_)
        {
            if (now() >= valid_until)
            {
                known = look_up(in_, zone, known);
                valid_until = now() + 2;
            }
            if (!known.empty())
                request(known[random_number() % known.size()]);
            sleep_for(pause_);
        }
    }

    void request(address const& to)
    {
        auto const attempt = random_id("");
        auto const begin = now();
        auto const answer = call(
            to, "GET", "/look/1",
            "Host: shop.example\r\nAttempt-Id: " + attempt + "\r\nDeadline-Ms: 2000\r\n", "", 2);
        record_.line("consumer sent " + attempt + " at " + std::to_string(begin) + " to " +
                     to.text() + ", answered " + std::to_string(answer.status()) + " seal \"" +
                     answer.field("server-seal") + "\" body \"" + answer.body + "\"");
        bool const is_whole = answer.status() == 200 &&
                              answer.field("server-seal") == seal_of(attempt) &&
                              answer.body == body_of(attempt);
        std::lock_guard const lock(mutex_);
        sent_[attempt] = {begin, to.ip, answer.status(), is_whole};
    }

    deployment& in_;
    recorder& record_;
    double pause_;
    std::atomic<bool> ended_{false};
    std::mutex mutex_;
    std::map<std::string, sent_request> sent_;
    std::vector<std::thread> threads_;
};

/// Returns a desired state with one safe, public route to one service.
inline std::string desired_state(int version, std::string const& timeout = "800ms",
                                 std::string const& further_routes = "")
{
    return "{\"Version\":\"r" + std::to_string(version) +
           "\",\"Routes\":[{\"Name\":\"r-look\",\"Hostname\":\"shop.example\",\"PathPrefix\":"
           "\"/look/\",\"Type\":\"safe\",\"Timeout\":\"" +
           timeout +
           "\",\"TargetLatency\":\"250ms\","
           "\"Priority\":2,\"Service\":\"desk\",\"MaxAttempts\":2,\"Public\":true,\"Sticky\":false,"
           "\"AllowedRegions\":[]}" +
           further_routes +
           "],\"Services\":[{\"Name\":\"desk\",\"HealthPath\":\"/healthz\","
           "\"MaxConnections\":390,\"Protocol\":\"h1\",\"Tls\":false,\"Warmup\":\"3s\","
           "\"WarmupPerS\":10.0}],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,"
           "\"HeaderTimeout\":\"3000ms\",\"IdleTimeout\":\"15000ms\"}}";
}

/// Runs a case in the folder that the first argument names, with the repository as the second one.
/// The third one is `0` to leave the disruption out.
inline int run_case(int argc, char** argv,
                    std::function<int(std::string const& repository, recorder&, bool trouble)> what)
{
    if (argc != 4)
        return could_not_run;
    ::signal(SIGPIPE, SIG_IGN);
    recorder record(std::string(argv[1]) + "/record.txt");
    try
    {
        return what(argv[2], record, std::string(argv[3]) != "0");
    }
    catch (setup_failed const& it)
    {
        record.line("could not run: " + it.why);
    }
    catch (std::exception const& it)
    {
        record.line(std::string("could not run: ") + it.what());
    }
    return could_not_run;
}

} // namespace review

#endif
