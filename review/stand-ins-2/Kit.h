// Parts of the stand-ins that the scripts of this review share: the platform's store, endpoints, a client's connection
// and the daemon as a separate process. All addresses are loopback addresses.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
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
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace kit {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point startedAt = Clock::now();
inline double seconds() { return std::chrono::duration<double>(Clock::now() - startedAt).count(); }
inline void sleepMs(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

// Writes lines with the time since the start to a file.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(std::fopen(path.c_str(), "w"))
    {
        if (!m_file)
            std::exit(2);
    }
    void add(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        std::lock_guard lock(m_mutex);
        std::fprintf(m_file, "%8.3f ", seconds());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(m_file, format, arguments);
        va_end(arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

private:
    std::FILE* m_file;
    std::mutex m_mutex;
};

// Ends this process without destructors, which threads of the stand-ins may still need.
[[noreturn]] inline void finish(int status)
{
    std::fflush(nullptr);
    std::_Exit(status);
}

inline bool isTrouble()
{
    const char* text = std::getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

struct Address {
    std::string ip = "127.0.0.1";
    int port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in toSockaddr(const Address& address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

// Returns a listening socket and sets the port that the kernel has chosen.
inline int listenOn(Address& address)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto name = toSockaddr(address);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&name), sizeof(name)) != 0 || ::listen(fd, 512) != 0) {
        std::perror("listen");
        std::exit(2);
    }
    socklen_t size = sizeof(name);
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&name), &size);
    address.port = ntohs(name.sin_port);
    return fd;
}

inline int freePort(const std::string& ip)
{
    Address address { ip, 0 };
    const int fd = listenOn(address);
    ::close(fd);
    return address.port;
}

inline bool equalsIgnoringCase(const std::string& a, const std::string& b)
{
    return a.size() == b.size() && ::strncasecmp(a.c_str(), b.c_str(), a.size()) == 0;
}

struct Message {
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    bool isWhole = false; // The body has arrived completely.

    std::string field(const std::string& name) const
    {
        for (const auto& [n, value] : fields) {
            if (equalsIgnoringCase(n, name))
                return value;
        }
        return {};
    }
    bool hasField(const std::string& name) const
    {
        for (const auto& [n, value] : fields) {
            if (equalsIgnoringCase(n, name))
                return true;
        }
        return false;
    }
    int status() const { return startLine.size() > 12 ? std::atoi(startLine.c_str() + 9) : 0; }
    std::string method() const { return startLine.substr(0, startLine.find(' ')); }
    std::string target() const
    {
        const auto begin = startLine.find(' ') + 1;
        return startLine.substr(begin, startLine.find(' ', begin) - begin);
    }
};

// A connected socket with a read buffer. Not thread-safe, but one thread may write while another reads.
class Connection {
public:
    Connection() = default;
    explicit Connection(int fd)
        : m_fd(fd)
    {
        const int on = 1;
        ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    ~Connection() { close(); }

    bool connect(const Address& address)
    {
        close();
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        auto name = toSockaddr(address);
        if (::connect(m_fd, reinterpret_cast<sockaddr*>(&name), sizeof(name)) == 0)
            return true;
        close();
        return false;
    }
    void close()
    {
        if (m_fd >= 0)
            ::close(m_fd);
        m_fd = -1;
        m_buffer.clear();
    }
    void reset()
    {
        const linger now { 1, 0 };
        ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        close();
    }
    bool isOpen() const { return m_fd >= 0; }
    int fd() const { return m_fd; }

    bool write(const std::string& text) { return write(text.data(), text.size()); }
    bool write(const char* data, std::size_t size)
    {
        while (size > 0) {
            const auto n = ::send(m_fd, data, size, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            data += n;
            size -= static_cast<std::size_t>(n);
        }
        return true;
    }

    enum class Read { More, Ended, Reset, TimedOut };
    // Waits for up to `ms` for more bytes.
    Read readMore(int ms)
    {
        pollfd waiting { m_fd, POLLIN, 0 };
        if (::poll(&waiting, 1, ms) <= 0)
            return Read::TimedOut;
        char part[65536];
        const auto n = ::recv(m_fd, part, sizeof(part), 0);
        if (n == 0)
            return Read::Ended;
        if (n < 0)
            return Read::Reset;
        m_buffer.append(part, static_cast<std::size_t>(n));
        return Read::More;
    }
    std::string& buffer() { return m_buffer; }

    // Reads a head; empty after an end, a reset or the time limit, of which lastRead() tells.
    std::optional<Message> readHead(int ms)
    {
        const auto end = Clock::now() + std::chrono::milliseconds(ms);
        while (true) {
            const auto at = m_buffer.find("\r\n\r\n");
            if (at != std::string::npos) {
                Message message;
                const std::string head = m_buffer.substr(0, at);
                m_buffer.erase(0, at + 4);
                std::size_t begin = 0;
                bool isFirst = true;
                while (begin <= head.size()) {
                    auto lineEnd = head.find("\r\n", begin);
                    if (lineEnd == std::string::npos)
                        lineEnd = head.size();
                    const auto line = head.substr(begin, lineEnd - begin);
                    begin = lineEnd + 2;
                    if (isFirst) {
                        message.startLine = line;
                        isFirst = false;
                        continue;
                    }
                    const auto colon = line.find(':');
                    if (colon == std::string::npos)
                        continue;
                    auto value = line.substr(colon + 1);
                    value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
                    message.fields.emplace_back(line.substr(0, colon), value);
                }
                return message;
            }
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - Clock::now()).count();
            m_lastRead = readMore(static_cast<int>(std::max<long long>(left, 0)));
            if (m_lastRead != Read::More)
                return std::nullopt;
        }
    }
    Read lastRead() const { return m_lastRead; }

    bool fill(std::size_t size, Clock::time_point end)
    {
        while (m_buffer.size() < size) {
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - Clock::now()).count();
            m_lastRead = readMore(static_cast<int>(std::max<long long>(left, 0)));
            if (m_lastRead != Read::More)
                return false;
        }
        return true;
    }

    // Reads the body with a length or in chunks; a response without either ends with its connection.
    void readBody(Message& message, bool isResponse, int ms)
    {
        const auto end = Clock::now() + std::chrono::milliseconds(ms);
        const int status = isResponse ? message.status() : 0;
        if (isResponse && (status == 204 || status == 304 || (status >= 100 && status < 200))) {
            message.isWhole = true;
            return;
        }
        if (equalsIgnoringCase(message.field("Transfer-Encoding"), "chunked")) {
            while (true) {
                std::size_t at;
                while ((at = m_buffer.find("\r\n")) == std::string::npos) {
                    if (!fill(m_buffer.size() + 1, end))
                        return;
                }
                const auto size = std::strtoul(m_buffer.c_str(), nullptr, 16);
                if (!fill(at + 2 + size + 2, end))
                    return;
                message.body += m_buffer.substr(at + 2, size);
                m_buffer.erase(0, at + 2 + size + 2);
                if (size == 0) {
                    message.isWhole = true;
                    return;
                }
            }
        }
        if (message.hasField("Content-Length")) {
            const auto size = std::strtoul(message.field("Content-Length").c_str(), nullptr, 10);
            const bool isFilled = fill(size, end);
            message.body = m_buffer.substr(0, std::min(size, m_buffer.size()));
            m_buffer.erase(0, message.body.size());
            message.isWhole = isFilled;
            return;
        }
        if (!isResponse) {
            message.isWhole = true;
            return;
        }
        while (fill(m_buffer.size() + 1, end)) { }
        message.body = std::exchange(m_buffer, {});
        message.isWhole = m_lastRead == Read::Ended;
    }

    std::optional<Message> readMessage(bool isResponse, int ms)
    {
        auto message = readHead(ms);
        if (message)
            readBody(*message, isResponse, ms);
        return message;
    }

private:
    int m_fd = -1;
    std::string m_buffer;
    Read m_lastRead = Read::More;
};

// Accepts connections and serves each in a thread of its own.
class Server {
public:
    using Handler = std::function<void(Connection&)>;
    explicit Server(Address address, Handler handler)
        : m_address(std::move(address))
        , m_listener(listenOn(m_address))
        , m_handler(std::move(handler))
    {
        std::thread([this] {
            while (true) {
                const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0)
                    return;
                std::thread([this, fd] {
                    Connection connection(fd);
                    m_handler(connection);
                }).detach();
            }
        }).detach();
    }
    const Address& address() const { return m_address; }

private:
    Address m_address;
    int m_listener;
    Handler m_handler;
};

inline std::string base64(const std::string& text)
{
    static const char* const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t n = 0; n < text.size(); n += 3) {
        unsigned group = static_cast<unsigned char>(text[n]) << 16U;
        if (n + 1 < text.size())
            group |= static_cast<unsigned char>(text[n + 1]) << 8U;
        if (n + 2 < text.size())
            group |= static_cast<unsigned char>(text[n + 2]);
        result += digits[group >> 18U];
        result += digits[(group >> 12U) & 63U];
        result += n + 1 < text.size() ? digits[(group >> 6U) & 63U] : '=';
        result += n + 2 < text.size() ? digits[group & 63U] : '=';
    }
    return result;
}

// The platform's store: kv-key, kv-range and kv-watch as PROTOCOL.md has them.
class Store {
public:
    explicit Store(Record& record)
        : m_record(record)
        , m_server({ "127.0.0.1", 0 }, [this](Connection& connection) { serve(connection); })
    {
    }
    const Address& address() const { return m_server.address(); }

    // Returns when the item is stored, which is its ack.
    std::uint64_t put(const std::string& key, const std::string& value)
    {
        std::lock_guard lock(m_mutex);
        m_items[key] = { base64(value), ++m_revision, false };
        m_changed.notify_all();
        m_record.add("store: acknowledges %s, revision %llu", key.c_str(), static_cast<unsigned long long>(m_revision));
        return m_revision;
    }
    void remove(const std::string& key)
    {
        std::lock_guard lock(m_mutex);
        m_items[key] = { {}, ++m_revision, true };
        m_changed.notify_all();
        m_record.add("store: removes %s, revision %llu", key.c_str(), static_cast<unsigned long long>(m_revision));
    }
    // Goes back to a state kept earlier, as in a drill: the next era begins.
    void keepCopy()
    {
        std::lock_guard lock(m_mutex);
        m_copy = m_items;
        m_copyRevision = m_revision;
    }
    void restoreCopy()
    {
        std::lock_guard lock(m_mutex);
        m_items = m_copy;
        m_revision = m_copyRevision;
        ++m_era;
        m_changed.notify_all();
        m_record.add("store: back from a copy, revision %llu", static_cast<unsigned long long>(m_revision));
    }
    std::atomic<bool> isSilent { false };

private:
    struct Item {
        std::string value;
        std::uint64_t revision = 0;
        bool isDeleted = false;
    };

    static std::string parameter(const std::string& target, const std::string& name)
    {
        const auto query = target.find('?');
        if (query == std::string::npos)
            return {};
        std::size_t begin = query + 1;
        while (begin < target.size()) {
            auto end = target.find('&', begin);
            if (end == std::string::npos)
                end = target.size();
            const auto part = target.substr(begin, end - begin);
            if (part.starts_with(name + "="))
                return decode(part.substr(name.size() + 1));
            begin = end + 1;
        }
        return {};
    }
    static std::string decode(const std::string& text)
    {
        std::string result;
        for (std::size_t n = 0; n < text.size(); ++n) {
            if (text[n] == '%' && n + 2 < text.size()) {
                result += static_cast<char>(std::strtoul(text.substr(n + 1, 2).c_str(), nullptr, 16));
                n += 2;
            } else {
                result += text[n];
            }
        }
        return result;
    }
    std::string toText(const std::string& key, const Item& item) const
    {
        const auto revision = std::to_string(item.revision);
        if (item.isDeleted)
            return "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"tombstone\":true}";
        return "{\"key\":\"" + key + "\",\"value\":\"" + item.value + "\",\"revision\":" + revision
            + ",\"created\":" + revision + ",\"lease\":0}";
    }
    std::string range(const std::string& prefix, const std::string& after)
    {
        std::string items;
        bool hasMore = false;
        std::size_t count = 0;
        for (const auto& [key, item] : m_items) {
            if (item.isDeleted || !key.starts_with(prefix) || key <= after)
                continue;
            if (count == 500) {
                hasMore = true;
                break;
            }
            items += (count++ > 0 ? "," : "") + toText(key, item);
        }
        return "{\"items\":[" + items + "],\"has_more\":" + (hasMore ? "true" : "false")
            + ",\"store_revision\":" + std::to_string(m_revision) + "}";
    }
    std::string events(const std::string& prefix, std::uint64_t after)
    {
        std::string text;
        for (const auto& [key, item] : m_items) {
            if (item.revision > after && key.starts_with(prefix))
                text += (text.empty() ? "" : ",") + toText(key, item);
        }
        return text;
    }
    bool answer(Connection& connection, int status, const std::string& body)
    {
        std::uint64_t era = 0;
        {
            std::lock_guard lock(m_mutex);
            era = m_era;
        }
        return connection.write("HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Other")
            + "\r\nContent-Type: application/json\r\nStore-Era: " + std::to_string(era)
            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    void serve(Connection& connection)
    {
        while (true) {
            auto request = connection.readMessage(false, 600'000);
            if (!request)
                return;
            while (isSilent)
                sleepMs(20);
            const auto target = request->target();
            const auto prefix = parameter(target, "prefix");
            const auto path = target.substr(0, target.find('?'));
            if (path == "/api/kv-range") {
                std::string body;
                {
                    std::lock_guard lock(m_mutex);
                    body = range(prefix, parameter(target, "after"));
                }
                if (!answer(connection, 200, body))
                    return;
            } else if (path == "/api/kv-watch") {
                const auto after = std::strtoull(parameter(target, "after").c_str(), nullptr, 10);
                const auto waitMs = std::strtoull(parameter(target, "wait_ms").c_str(), nullptr, 10);
                std::unique_lock lock(m_mutex);
                const auto end = Clock::now() + std::chrono::milliseconds(waitMs);
                const auto era = m_era;
                while (events(prefix, after).empty() && era == m_era && after <= m_revision
                    && m_changed.wait_until(lock, end) != std::cv_status::timeout) { }
                const bool isGone = after > m_revision;
                const auto body = "{\"events\":[" + events(prefix, after)
                    + "],\"store_revision\":" + std::to_string(m_revision) + "}";
                lock.unlock();
                if (!answer(connection, isGone ? 410 : 200, isGone ? "{}" : body))
                    return;
            } else if (!answer(connection, 404, "{}")) {
                return;
            }
        }
    }

    Record& m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::uint64_t m_revision = 1;
    std::uint64_t m_era = 1;
    std::map<std::string, Item> m_copy;
    std::uint64_t m_copyRevision = 1;
    Server m_server;
};

// An endpoint that behaves like a sound server. `answer` may replace what it does with a request that it runs; it
// returns whether the connection stays open.
class Endpoint {
public:
    using Answer = std::function<bool(Endpoint&, Connection&, const Message&)>;
    Endpoint(Record& record, std::string id, int serviceMs, Answer answer = nullptr)
        : m_record(record)
        , m_id(std::move(id))
        , m_serviceMs(serviceMs)
        , m_answer(std::move(answer))
        , m_server({ "127.0.0.1", 0 }, [this](Connection& connection) { serve(connection); })
    {
    }
    const std::string& id() const { return m_id; }
    const Address& address() const { return m_server.address(); }
    int serviceMs() const { return m_serviceMs; }
    int slots = 16;

    std::string entry(const std::string& service, const std::string& zone, const std::string& state = "ready") const
    {
        return "{\"address\":\"" + address().text() + "\",\"info\":{\"service\":\"" + service
            + "\",\"version\":\"v1\",\"zone\":\"" + zone + "\",\"concurrency\":" + std::to_string(slots)
            + "},\"status\":{\"state\":\"" + state + "\",\"seq\":1,\"warmup_left_ms\":0},\"born\":1700000000000}";
    }
    // How often a request ran here.
    std::map<std::string, int> runs()
    {
        std::lock_guard lock(m_mutex);
        return m_runs;
    }
    void recordRun(const std::string& attempt)
    {
        {
            std::lock_guard lock(m_mutex);
            ++m_runs[attempt];
        }
        m_record.add("endpoint %s: runs %s", m_id.c_str(), attempt.c_str());
    }
    static std::string answerText(const std::string& id, const std::string& body, const std::string& more = {})
    {
        return "HTTP/1.1 200 OK\r\nDogwoodhall-Attempt-Id: " + id + "\r\nDogwoodhall-Response-Signature: s." + id + "."
            + std::to_string(body.size()) + "\r\n" + more + "Content-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
    }

private:
    void serve(Connection& connection)
    {
        while (true) {
            auto request = connection.readHead(600'000);
            if (!request)
                return;
            if (request->target() == "/health") {
                const auto load = std::to_string(m_running.load()) + ",0," + std::to_string(slots) + ",100";
                if (!connection.write("HTTP/1.1 200 OK\r\nDogwoodhall-Instance-Id: " + m_id
                        + "\r\nDogwoodhall-Backend-Load: " + load + "\r\nContent-Length: 0\r\n\r\n"))
                    return;
                continue;
            }
            connection.readBody(*request, false, 60'000);
            if (!request->isWhole)
                return;
            const auto attempt = request->field("Dogwoodhall-Attempt-Id");
            if (request->hasField("Dogwoodhall-Expected-Instance")
                && request->field("Dogwoodhall-Expected-Instance") != m_id) {
                connection.write("HTTP/1.1 421 Misdirected Request\r\nDogwoodhall-Instance-Id: " + m_id
                    + "\r\nDogwoodhall-Attempt-Id: " + attempt + "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            ++m_running;
            bool staysOpen = true;
            if (m_answer) {
                staysOpen = m_answer(*this, connection, *request);
            } else {
                recordRun(attempt);
                sleepMs(m_serviceMs);
                staysOpen = connection.write(answerText(attempt, m_id + " served " + attempt + "\n"));
            }
            --m_running;
            if (!staysOpen)
                return;
        }
    }

    Record& m_record;
    std::string m_id;
    int m_serviceMs;
    Answer m_answer;
    std::mutex m_mutex;
    std::map<std::string, int> m_runs;
    std::atomic<int> m_running { 0 };
    Server m_server;
};

// One machine: the daemon with the command of the deploy file and settings like those of a small deployment.
class Machine {
public:
    struct Options {
        std::string name = "edge-1";
        std::string zone = "zone-a";
        std::string ip = "127.0.0.1";
        std::vector<std::string> seedIps {};
        int peerPort = 0;
        int graceMs = 6000;
        int configMs = 2000;
        int memoryMb = 260;
        int descriptors = 4100;
    };
    Machine(Record& record, const Address& store, const std::string& folder, Options options)
        : m_record(record)
        , m_options(std::move(options))
        , m_folder(folder)
    {
        caller = { m_options.ip, freePort(m_options.ip) };
        admin = { m_options.ip, freePort(m_options.ip) };
        const int peerPort = m_options.peerPort ? m_options.peerPort : freePort(m_options.ip);
        std::string seeds;
        for (const auto& ip : m_options.seedIps)
            seeds += (seeds.empty() ? "\"" : ",\"") + ip + ":8544\"";
        std::ofstream settings(settingsPath());
        settings << "{\"schemaVersion\":1,\"member\":\"" << m_options.name << "\",\"dataCentre\":\"" << m_options.zone
                 << "\",\"callerAddress\":\"" << caller.text() << "\",\"peerAddress\":\"" << m_options.ip << ":"
                 << peerPort << "\",\"adminAddress\":\"" << admin.text() << "\",\"platformAddress\":\"" << store.text()
                 << "\",\"trafficThreads\":1,\"memoryLimitMegabytes\":" << m_options.memoryMb
                 << ",\"descriptorLimit\":" << m_options.descriptors
                 << ",\"measuringCallsPerSecond\":400,\"measuringBytesPerSecond\":56000,\"registry\":{\"stopGraceMs\":"
                 << m_options.graceMs << ",\"retryPercent\":20,\"retryWindowMs\":10000,\"retrySlack\":56"
                 << ",\"maxConfigurationAgeMs\":" << m_options.configMs << ",\"healthCallsPerEndpoint\":60"
                 << ",\"linkMegabitsPerSecond\":1000,\"seeds\":[" << seeds << "],\"regions\":{\"" << m_options.zone
                 << "\":\"region-a\"}}}\n";
    }
    ~Machine() { kill(); }
    void kill()
    {
        if (pid <= 0)
            return;
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
        pid = -1;
    }
    std::string settingsPath() const { return m_folder + "/" + m_options.name + ".json"; }
    std::string logPath() const { return m_folder + "/" + m_options.name + ".log"; }

    void start()
    {
        const char* const program = std::getenv("DOGWOODHALLD");
        const std::string path = program ? program : "target/packages/daemon/dogwoodhalld";
        const auto settings = settingsPath();
        const auto log = logPath();
        pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(fd, 1);
            ::dup2(fd, 2);
            ::execl(path.c_str(), path.c_str(), "--settings", settings.c_str(), nullptr);
            ::_exit(127);
        }
        m_record.add("machine %s: starts, pid %d", m_options.name.c_str(), pid);
    }
    // After ended(): the same machine again.
    void restart()
    {
        kill();
        m_end.reset();
        start();
    }
    bool isReady() const
    {
        Connection connection;
        if (!connection.connect(admin) || !connection.write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"))
            return false;
        const auto answer = connection.readMessage(true, 1000);
        return answer && answer->status() == 200;
    }
    bool awaitReady(int ms = 15'000) const
    {
        const auto end = Clock::now() + std::chrono::milliseconds(ms);
        while (Clock::now() < end) {
            if (isReady())
                return true;
            sleepMs(50);
        }
        return false;
    }
    void signal(int number)
    {
        m_record.add("machine %s: gets signal %d", m_options.name.c_str(), number);
        ::kill(pid, number);
    }
    // Empty while the process runs; else how it ended.
    std::optional<std::string> ended()
    {
        if (m_end || pid <= 0)
            return m_end;
        int status = 0;
        if (::waitpid(pid, &status, WNOHANG) != pid)
            return std::nullopt;
        pid = -1;
        m_end = WIFSIGNALED(status) ? "by signal " + std::to_string(WTERMSIG(status))
                                    : "with status " + std::to_string(WEXITSTATUS(status));
        m_record.add("machine %s: ended %s", m_options.name.c_str(), m_end->c_str());
        return m_end;
    }

    Address caller;
    Address admin;
    pid_t pid = -1;

private:
    Record& m_record;
    Options m_options;
    std::string m_folder;
    std::optional<std::string> m_end;
};

struct Route {
    std::string name;
    std::string prefix;
    std::string kind;
    std::string service = "svc-a";
    int timeoutMs = 5000;
    int goalMs = 1000;
    int maxAttempts = 2;
};

struct Limits {
    int headerBytes = 16384;
    long bodyBytes = 67108864;
    int headerTimeoutMs = 3000;
    int idleTimeoutMs = 15000;
};

inline std::string configuration(
    unsigned version, const std::vector<Route>& routes, const Limits& limits, const std::set<std::string>& services)
{
    char text[16];
    std::snprintf(text, sizeof(text), "%08x", version);
    std::string json = "{\"version\":\"" + std::string(text) + "\",\"routes\":{";
    bool isFirst = true;
    for (const auto& route : routes) {
        json += std::string(isFirst ? "" : ",") + "\"" + route.name + "\":{\"host\":\"shop.example\",\"prefix\":\""
            + route.prefix + "\",\"kind\":\"" + route.kind + "\",\"timeout_ms\":" + std::to_string(route.timeoutMs)
            + ",\"target_latency_ms\":" + std::to_string(route.goalMs) + ",\"priority\":1,\"service\":\""
            + route.service + "\",\"max_attempts\":" + std::to_string(route.maxAttempts) + "}";
        isFirst = false;
    }
    json += "},\"services\":{";
    isFirst = true;
    for (const auto& service : services) {
        json += std::string(isFirst ? "" : ",") + "\"" + service
            + "\":{\"health_path\":\"/health\",\"max_connections\":220,\"protocol\":\"h1\",\"tls\":false}";
        isFirst = false;
    }
    return json + "},\"limits\":{\"max_header_bytes\":" + std::to_string(limits.headerBytes) + ",\"max_body_bytes\":"
        + std::to_string(limits.bodyBytes) + ",\"header_timeout_ms\":" + std::to_string(limits.headerTimeoutMs)
        + ",\"idle_timeout_ms\":" + std::to_string(limits.idleTimeoutMs) + "}}";
}

inline std::string requestText(const std::string& method, const std::string& path, const std::string& attempt,
    int deadlineMs, const std::string& moreFields = {}, const std::string& body = {})
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nDogwoodhall-Attempt-Id: " + attempt
        + "\r\nDogwoodhall-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n" + moreFields;
    if (!body.empty() || method == "POST")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

} // namespace kit
