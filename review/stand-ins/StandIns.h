// Stand-ins for the users' platform, written from PROTOCOL.md: the store, endpoints and callers, and processes of
// dogwoodhalld. Blocking sockets with one thread for each connection; no library beyond the C++ standard library and
// POSIX. Everything runs on loopback addresses of 127.0.0.0/8.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

constexpr int statusHeld = 0;
constexpr int statusBroken = 1;
constexpr int statusCannotRun = 2;

inline const Clock::time_point startedAt = Clock::now();

inline double now() { return std::chrono::duration<double>(Clock::now() - startedAt).count(); }

inline void sleepFor(double seconds) { std::this_thread::sleep_for(std::chrono::duration<double>(seconds)); }

inline void sleepUntil(double at)
{
    if (at > now())
        sleepFor(at - now());
}

// The record of a run: one line for each event, with seconds from the start.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(std::fopen(path.c_str(), "w"))
    {
        if (!m_file)
            throw std::runtime_error("cannot write " + path);
    }

    __attribute__((format(printf, 2, 3))) void line(const char* format, ...)
    {
        const std::lock_guard lock(m_mutex);
        std::fprintf(m_file, "%9.4f  ", now());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(m_file, format, arguments);
        va_end(arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

private:
    std::mutex m_mutex;
    std::FILE* m_file;
};

struct Address {
    std::string ip;
    int port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in toSocketAddress(const Address& address)
{
    sockaddr_in name {};
    name.sin_family = AF_INET;
    name.sin_port = htons(static_cast<std::uint16_t>(address.port));
    ::inet_pton(AF_INET, address.ip.c_str(), &name.sin_addr);
    return name;
}

// Listens on a free port if the address has none, and sets the port.
inline int listenOn(Address& address)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto name = toSocketAddress(address);
    socklen_t size = sizeof name;
    if (::bind(fd, reinterpret_cast<sockaddr*>(&name), size) != 0 || ::listen(fd, 512) != 0
        || ::getsockname(fd, reinterpret_cast<sockaddr*>(&name), &size) != 0)
        throw std::runtime_error("cannot listen on " + address.text());
    address.port = ntohs(name.sin_port);
    return fd;
}

inline int freePort(const std::string& ip)
{
    Address address { ip, 0 };
    ::close(listenOn(address));
    return address.port;
}

struct Message {
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    bool isComplete = false;

    std::string field(const std::string& name) const
    {
        for (const auto& [key, value] : fields) {
            if (::strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        }
        return {};
    }
    int status() const { return startLine.size() > 12 ? std::atoi(startLine.c_str() + 9) : 0; }
    std::string method() const { return startLine.substr(0, startLine.find(' ')); }
    std::string target() const
    {
        const auto begin = startLine.find(' ') + 1;
        return startLine.substr(begin, startLine.find(' ', begin) - begin);
    }
};

class Connection {
public:
    explicit Connection(int fd)
        : m_fd(fd)
    {
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    explicit Connection(const Address& address)
        : Connection(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const auto name = toSocketAddress(address);
        m_isOpen = ::connect(m_fd, reinterpret_cast<const sockaddr*>(&name), sizeof name) == 0;
    }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    ~Connection() { ::close(m_fd); }

    bool isOpen() const { return m_isOpen; }
    int fd() const { return m_fd; }

    bool send(const std::string& text)
    {
        std::size_t sent = 0;
        while (sent < text.size()) {
            const auto n = ::send(m_fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }

    // Empty if the connection ended or `seconds` elapsed before a head arrived; isTimedOut() tells which. A message
    // whose body ended early has isComplete false.
    std::optional<Message> read(double seconds)
    {
        m_timedOut = false;
        const double until = now() + seconds;
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(until))
                return std::nullopt;
        }
        Message message;
        std::istringstream head(m_buffer.substr(0, end));
        m_buffer.erase(0, end + 4);
        std::string text;
        std::getline(head, text);
        message.startLine = text.substr(0, text.find('\r'));
        while (std::getline(head, text)) {
            const auto colon = text.find(':');
            if (colon == std::string::npos)
                continue;
            auto value = text.substr(colon + 1, text.find('\r') - colon - 1);
            value.erase(0, value.find_first_not_of(' '));
            message.fields.emplace_back(text.substr(0, colon), value);
        }
        message.isComplete = readBody(message, until);
        return message;
    }

    bool isTimedOut() const { return m_timedOut; }

    // Whether the other side has closed the connection.
    bool hasEnded() const
    {
        pollfd entry { m_fd, POLLIN | POLLRDHUP, 0 };
        if (::poll(&entry, 1, 0) <= 0)
            return false;
        char byte = 0;
        return ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0 || (entry.revents & (POLLERR | POLLHUP)) != 0;
    }

    void waitForEnd() const
    {
        while (!hasEnded())
            sleepFor(0.005);
    }

private:
    bool fill(double until)
    {
        pollfd entry { m_fd, POLLIN, 0 };
        const int wait = static_cast<int>(std::max(0.0, (until - now()) * 1000));
        if (::poll(&entry, 1, wait) <= 0) {
            m_timedOut = true;
            return false;
        }
        std::array<char, 16384> bytes;
        const auto n = ::recv(m_fd, bytes.data(), bytes.size(), 0);
        if (n <= 0)
            return false;
        m_buffer.append(bytes.data(), static_cast<std::size_t>(n));
        return true;
    }

    bool take(std::size_t size, std::string& to, double until)
    {
        while (m_buffer.size() < size) {
            if (!fill(until))
                return false;
        }
        to.append(m_buffer, 0, size);
        m_buffer.erase(0, size);
        return true;
    }

    bool readBody(Message& message, double until)
    {
        if (const auto length = message.field("Content-Length"); !length.empty())
            return take(std::stoul(length), message.body, until);
        if (::strcasecmp(message.field("Transfer-Encoding").c_str(), "chunked") != 0)
            return true;
        while (true) {
            std::size_t end = 0;
            while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                if (!fill(until))
                    return false;
            }
            const auto size = std::stoul(m_buffer.substr(0, end), nullptr, 16);
            m_buffer.erase(0, end + 2);
            std::string separator;
            if (!take(size, message.body, until) || !take(2, separator, until))
                return false;
            if (size == 0)
                return true;
        }
    }

    int m_fd;
    bool m_isOpen = true;
    bool m_timedOut = false;
    std::string m_buffer;
};

// Accepts connections and serves each on a thread of its own until the process ends.
class Server {
public:
    using Handler = std::function<void(Connection&)>;

    Server(Address address, Handler handler)
        : m_address(std::move(address))
        , m_handler(std::move(handler))
    {
        const int fd = listenOn(m_address);
        std::thread([this, fd] {
            while (true) {
                const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0)
                    continue;
                std::thread([this, accepted] {
                    Connection connection(accepted);
                    m_handler(connection);
                }).detach();
            }
        }).detach();
    }

    const Address& address() const { return m_address; }

private:
    Address m_address;
    Handler m_handler;
};

inline std::string answer(int status, const std::string& body, const std::string& fields = {})
{
    return "HTTP/1.1 " + std::to_string(status) + " Answer\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string toBase64(const std::string& text)
{
    static const char* const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t n = 0; n < text.size(); n += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group = group << 8 | (n + k < text.size() ? static_cast<unsigned char>(text[n + k]) : 0);
        for (std::size_t k = 0; k < 4; ++k)
            result += n + k > text.size() ? '=' : digits[group >> (18 - 6 * k) & 63];
    }
    return result;
}

// As `fleetbench wire` shows them.
inline const std::string limitsOfCallers = R"("limits":{"max_header_bytes":16384,"max_body_bytes":67108864,)"
                                           R"("header_timeout_ms":3000,"idle_timeout_ms":15000})";

// The platform's store: kv-range and kv-watch over all keys. While it is silent, a call that arrives never gets an
// answer, and one that waits gets none until the silence is over.
class Store {
public:
    explicit Store(const std::string& ip)
        : m_server({ ip, 0 }, [this](Connection& connection) { serve(connection); })
    {
    }

    const Address& address() const { return m_server.address(); }

    void put(const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(m_mutex);
        m_items[key] = { toBase64(value), ++m_revision, false };
        m_changed.notify_all();
    }

    void remove(const std::string& key)
    {
        const std::lock_guard lock(m_mutex);
        m_items[key] = { {}, ++m_revision, true };
        m_changed.notify_all();
    }

    void setSilent(bool isSilent)
    {
        const std::lock_guard lock(m_mutex);
        m_isSilent = isSilent;
        m_changed.notify_all();
    }

    // Calls that arrived during a silence.
    int callsUnanswered()
    {
        const std::lock_guard lock(m_mutex);
        return m_callsUnanswered;
    }

private:
    struct Item {
        std::string value;
        std::uint64_t revision = 0;
        bool isDeleted = false;
    };

    static std::string parameter(const std::string& target, const std::string& name)
    {
        const auto query = "&" + target.substr(std::min(target.find('?') + 1, target.size())) + "&";
        const auto begin = query.find("&" + name + "=");
        if (begin == std::string::npos)
            return {};
        const auto value = begin + name.size() + 2;
        std::string text;
        for (auto n = value; query[n] != '&'; ++n) {
            if (query[n] == '%') {
                text += static_cast<char>(std::stoi(query.substr(n + 1, 2), nullptr, 16));
                n += 2;
            } else {
                text += query[n];
            }
        }
        return text;
    }

    static std::string toJson(const std::string& key, const Item& item)
    {
        const auto head = "{\"key\":\"" + key + "\",\"revision\":" + std::to_string(item.revision);
        if (item.isDeleted)
            return head + ",\"tombstone\":true}";
        return head + ",\"value\":\"" + item.value + "\",\"created\":" + std::to_string(item.revision)
            + ",\"lease\":0}";
    }

    void serve(Connection& connection)
    {
        while (const auto request = connection.read(3600)) {
            if (isUnanswered()) {
                connection.waitForEnd();
                return;
            }
            const auto target = request->target();
            const auto body = target.starts_with("/api/kv-range") ? range(target) : watch(target);
            if (!connection.send(answer(200, body, "Content-Type: application/json\r\n")))
                return;
        }
    }

    bool isUnanswered()
    {
        const std::lock_guard lock(m_mutex);
        m_callsUnanswered += m_isSilent ? 1 : 0;
        return m_isSilent;
    }

    std::string range(const std::string& target)
    {
        constexpr std::size_t maxItems = 500;
        const std::lock_guard lock(m_mutex);
        const auto after = parameter(target, "after");
        std::string items;
        std::size_t count = 0;
        bool hasMore = false;
        for (const auto& [key, item] : m_items) {
            if (key <= after || item.isDeleted)
                continue;
            hasMore = count == maxItems;
            if (hasMore)
                break;
            items += (count++ > 0 ? "," : "") + toJson(key, item);
        }
        return "{\"items\":[" + items + "],\"has_more\":" + (hasMore ? "true" : "false")
            + ",\"store_revision\":" + std::to_string(m_revision) + "}";
    }

    std::string watch(const std::string& target)
    {
        std::unique_lock lock(m_mutex);
        const auto after = std::stoull("0" + parameter(target, "after"));
        const auto wait = Milliseconds(std::stoull("0" + parameter(target, "wait_ms")));
        m_changed.wait_for(lock, wait, [&] { return m_revision > after && !m_isSilent; });
        std::map<std::uint64_t, std::string> events;
        for (const auto& [key, item] : m_items) {
            if (item.revision > after)
                events[item.revision] = toJson(key, item);
        }
        std::string text;
        for (const auto& [revision, event] : events)
            text += (text.empty() ? "" : ",") + event;
        return "{\"events\":[" + text + "],\"store_revision\":" + std::to_string(m_revision) + "}";
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::uint64_t m_revision = 1;
    bool m_isSilent = false;
    int m_callsUnanswered = 0;
    Server m_server; // Last, since it serves as soon as it exists.
};

// An endpoint of a service whose endpoints never answer a request that they cannot queue, nor any further one on that
// connection (PROTOCOL.md, Endpoints). It drops a request when its connection closes.
class Endpoint {
public:
    struct Options {
        std::string id;
        std::string service;
        int slots = 4;
        int queue = 6;
        double workSeconds = 0.3;
        bool tellsLoad = true;
    };
    // What became of a request, by the caller's id.
    struct Fate {
        double arrivedAt = 0;
        std::optional<double> workedFrom;
        std::optional<double> workedUntil;
        bool isHung = false;
    };

    Endpoint(Options options, const std::string& ip, Record& record)
        : m_options(std::move(options))
        , m_record(record)
        , m_server({ ip, 0 }, [this](Connection& connection) { serve(connection); })
    {
    }

    const Address& address() const { return m_server.address(); }
    const std::string& id() const { return m_options.id; }

    std::string entry(const std::string& zone, const std::string& state) const
    {
        return "{\"address\":\"" + address().text() + "\",\"info\":{\"service\":\"" + m_options.service
            + "\",\"version\":\"v1\",\"zone\":\"" + zone + "\",\"concurrency\":" + std::to_string(m_options.slots)
            + "},\"status\":{\"state\":\"" + state + "\",\"seq\":1,\"warmup_left_ms\":0},\"born\":1700000000000}";
    }

    std::map<std::string, Fate> fates()
    {
        const std::lock_guard lock(m_mutex);
        return m_fates;
    }

private:
    void serve(Connection& connection)
    {
        while (const auto request = connection.read(3600)) {
            const bool isKept
                = request->target() == "/health" ? sendHealth(connection) : serveRequest(connection, *request);
            if (!isKept)
                return;
        }
    }

    bool sendHealth(Connection& connection)
    {
        std::unique_lock lock(m_mutex);
        const auto load = std::to_string(m_running) + "," + std::to_string(m_waiting) + ","
            + std::to_string(m_options.slots) + ",100";
        lock.unlock();
        auto fields = "Dogwoodhall-Instance-Id: " + m_options.id + "\r\n";
        if (m_options.tellsLoad)
            fields += "Dogwoodhall-Backend-Load: " + load + "\r\n";
        return connection.send(answer(200, "", fields));
    }

    bool serveRequest(Connection& connection, const Message& request)
    {
        const auto id = request.field("Dogwoodhall-Attempt-Id");
        const auto echo = "Dogwoodhall-Attempt-Id: " + id + "\r\n";
        const auto expected = request.field("Dogwoodhall-Expected-Instance");
        if (!expected.empty() && expected != m_options.id)
            return connection.send(answer(421, "", echo + "Dogwoodhall-Instance-Id: " + m_options.id + "\r\n"));
        std::unique_lock lock(m_mutex);
        m_fates[id] = { now(), {}, {}, false };
        m_record.line("%s reaches %s", id.c_str(), m_options.id.c_str());
        if (m_running >= m_options.slots && m_waiting >= m_options.queue) {
            m_fates[id].isHung = true;
            m_record.line("%s cannot be queued at %s and gets no answer", id.c_str(), m_options.id.c_str());
            lock.unlock();
            connection.waitForEnd();
            return false;
        }
        ++m_waiting;
        while (m_running >= m_options.slots && !connection.hasEnded())
            m_slotFree.wait_for(lock, Milliseconds(5));
        --m_waiting;
        if (connection.hasEnded())
            return false;
        ++m_running;
        m_fates[id].workedFrom = now();
        m_record.line("%s is run by %s", id.c_str(), m_options.id.c_str());
        const double end = now() + m_options.workSeconds;
        bool isDropped = false;
        while (now() < end && !isDropped) {
            lock.unlock();
            sleepFor(std::min(0.005, std::max(0.0, end - now())));
            isDropped = connection.hasEnded();
            lock.lock();
        }
        --m_running;
        m_slotFree.notify_all();
        m_fates[id].workedUntil = now();
        m_record.line("%s %s at %s", id.c_str(), isDropped ? "is dropped" : "is done", m_options.id.c_str());
        lock.unlock();
        const auto body = m_options.id + " served " + id + "\n";
        return !isDropped
            && connection.send(answer(200, body, echo + "Dogwoodhall-Response-Signature: signed-" + id + "\r\n"));
    }

    Options m_options;
    Record& m_record;
    std::mutex m_mutex;
    std::condition_variable m_slotFree;
    int m_running = 0;
    int m_waiting = 0;
    std::map<std::string, Fate> m_fates;
    Server m_server;
};

// A process of dogwoodhalld with settings as deploy/entry.json.template renders them.
class Member {
public:
    struct Options {
        std::string program; // The command of the deploy file.
        std::string folder; // For settings and logs.
        std::string name;
        std::string zone;
        std::string region;
        std::string ip;
        int peerPort = 0;
        Address store;
        std::vector<Address> seeds;
        int graceSeconds = 6;
    };

    explicit Member(Options options)
        : m_options(std::move(options))
    {
        m_caller = { m_options.ip, freePort(m_options.ip) };
        m_admin = { m_options.ip, freePort(m_options.ip) };
        std::ofstream file(settingsPath());
        file << "{\"schemaVersion\":1,\"member\":\"" << m_options.name << "\",\"dataCentre\":\"" << m_options.zone
             << "\",\"callerAddress\":\"" << m_caller.text() << "\",\"peerAddress\":\"" << m_options.ip << ":"
             << m_options.peerPort << "\",\"adminAddress\":\"" << m_admin.text() << "\",\"platformAddress\":\""
             << m_options.store.text() << "\",\"trafficThreads\":1,\"measuringCallsPerSecond\":400,"
             << "\"measuringBytesPerSecond\":56000,\"registry\":{\"stopGraceMs\":" << m_options.graceSeconds
             << "e3,\"retryPercent\":0.2e2,\"retryWindowMs\":10e3,\"retrySlack\":56,\"healthCallsPerEndpoint\":60,"
             << "\"linkMegabitsPerSecond\":1000.0,\"seeds\":[";
        for (std::size_t n = 0; n < m_options.seeds.size(); ++n)
            file << (n > 0 ? "," : "") << "\"" << m_options.seeds[n].text() << "\"";
        file << "],\"regions\":{\"" << m_options.zone << "\":\"" << m_options.region << "\"}}}\n";
    }
    Member(const Member&) = delete;
    Member& operator=(const Member&) = delete;
    ~Member() { kill(); }

    void start()
    {
        const auto log = m_options.folder + "/" + m_options.name + ".log";
        const auto settings = settingsPath();
        const pid_t parent = ::getpid();
        m_process = ::fork();
        if (m_process == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent)
                ::_exit(127);
            const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(fd, STDOUT_FILENO);
            ::dup2(fd, STDERR_FILENO);
            ::execl(m_options.program.c_str(), m_options.program.c_str(), "--settings", settings.c_str(), nullptr);
            ::_exit(127);
        }
    }

    void signal(int number) const
    {
        if (m_process > 0)
            ::kill(m_process, number);
    }

    // Returns the exit status, or nothing if the process still runs after `seconds`.
    std::optional<int> waitForExit(double seconds)
    {
        const double until = now() + seconds;
        int status = 0;
        while (m_process > 0 && ::waitpid(m_process, &status, WNOHANG) == 0) {
            if (now() >= until)
                return std::nullopt;
            sleepFor(0.005);
        }
        m_process = -1;
        return status;
    }

    void kill()
    {
        signal(SIGKILL);
        signal(SIGCONT);
        waitForExit(5);
    }

    bool isReady() const
    {
        Connection connection(m_admin);
        if (!connection.isOpen() || !connection.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"))
            return false;
        const auto response = connection.read(1);
        return response && response->status() == 200;
    }

    bool waitUntilReady(double seconds) const
    {
        const double until = now() + seconds;
        while (now() < until) {
            if (isReady())
                return true;
            sleepFor(0.02);
        }
        return false;
    }

    const Address& caller() const { return m_caller; }
    const std::string& name() const { return m_options.name; }
    const std::string& ip() const { return m_options.ip; }

private:
    std::string settingsPath() const { return m_options.folder + "/" + m_options.name + ".json"; }

    Options m_options;
    Address m_caller;
    Address m_admin;
    pid_t m_process = -1;
};

// A temporary folder that is removed at the end.
class Folder {
public:
    Folder()
    {
        const char* const base = std::getenv("TMPDIR");
        m_path = std::string(base ? base : "/tmp") + "/review-XXXXXX";
        if (!::mkdtemp(m_path.data()))
            throw std::runtime_error("cannot make a temporary folder");
    }
    ~Folder()
    {
        for (const auto& file : m_files)
            ::unlink((m_path + "/" + file).c_str());
        ::rmdir(m_path.c_str());
    }
    const std::string& path() const { return m_path; }
    void owns(const std::string& file) { m_files.push_back(file); }

private:
    std::string m_path;
    std::vector<std::string> m_files;
};

// Loopback addresses of this run: runs beside each other use other ones.
inline std::string loopback(int host)
{
    const int net = 1 + ::getpid() % 250;
    return "127." + std::to_string(net) + ".0." + std::to_string(host);
}

// The members of one zone, started and ready, with what a small deployment needs around them.
class Deployment {
public:
    Deployment(
        const std::string& program, const Store& store, const std::string& zone, const std::string& region, int members)
    {
        const int peerPort = freePort(loopback(firstHost));
        std::vector<Address> seeds;
        for (int n = 0; n < std::min(members, maxSeeds); ++n)
            seeds.push_back({ loopback(firstHost + n), controlPort });
        for (int n = 0; n < members; ++n) {
            const auto name = "edge-" + std::to_string(n);
            m_folder.owns(name + ".json");
            m_folder.owns(name + ".log");
            m_members.push_back(std::make_unique<Member>(Member::Options { program, m_folder.path(), name, zone, region,
                loopback(firstHost + n), peerPort, store.address(), seeds, graceSeconds }));
            m_members.back()->start();
        }
    }

    bool waitUntilReady() const
    {
        return std::all_of(m_members.begin(), m_members.end(),
            [](const auto& member) { return member->waitUntilReady(startSeconds); });
    }

    // Requests and connections are spread over the members in turn.
    Member& memberOf(int request) { return *m_members[static_cast<std::size_t>(request) % m_members.size()]; }

    static constexpr int graceSeconds = 6; // grace_s

private:
    static constexpr double startSeconds = 10;
    static constexpr int firstHost = 11;
    static constexpr int maxSeeds = 3;
    static constexpr int controlPort = 8544; // Stated in the settings; members use their peer port.

    Folder m_folder; // Removed after the members have ended.
    std::vector<std::unique_ptr<Member>> m_members;
};

// More than the stable_window_ms of any site used, without a disturbance before what is judged.
constexpr double calmSeconds = 4;

// TROUBLE=0 leaves out the disruption.
inline bool hasTrouble()
{
    const char* const text = std::getenv("TROUBLE");
    return !text || std::strcmp(text, "0") != 0;
}

// Runs a case as `run(PROGRAM, RECORD)`, which returns the exit status, and ends the process.
[[noreturn]] inline void runCase(int argc, char** argv, const std::function<int(const std::string&, Record&)>& run)
{
    int status = statusCannotRun;
    try {
        if (argc == 3)
            status = run(argv[1], *new Record(argv[2])); // Never destroyed: the stand-ins' threads still write.
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
    }
    std::fflush(nullptr);
    ::_exit(status); // The stand-ins' threads still run.
}

} // namespace review
