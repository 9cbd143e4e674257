#pragma once

#include "Process.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace dogwoodhall {

// Forwards TCP connections to named processes and can split them into two groups. Who connects is found by the socket's
// owner in /proc, since all processes of a test share 127.0.0.1.
class PeerRelay {
public:
    enum class Fault {
        Hang, // Bytes are held, and delivered after healing; connections still open.
        Reset, // Connections are reset, new ones too.
    };

    PeerRelay();
    PeerRelay(const PeerRelay&) = delete;
    PeerRelay& operator=(const PeerRelay&) = delete;
    ~PeerRelay();

    // Listens in place of the named process, which gets no connection before setTarget().
    NetworkAddress listenFor(const std::string& name);
    void setTarget(const std::string& name, const NetworkAddress&, pid_t);
    // Cuts these off from all others, and heals the former split.
    void split(std::set<std::string> group, Fault);

private:
    struct Target {
        NetworkAddress address;
        pid_t process = -1;
    };
    struct Connection {
        boost::asio::ip::tcp::socket near; // To the process that connected.
        boost::asio::ip::tcp::socket far; // To the target.
        std::string from;
        std::string to;
    };
    using ConnectionPointer = std::shared_ptr<Connection>;
    using Socket = boost::asio::ip::tcp::socket Connection::*;

    boost::asio::awaitable<void> accept(boost::asio::ip::tcp::acceptor&, std::string to);
    boost::asio::awaitable<void> serve(ConnectionPointer);
    boost::asio::awaitable<bool> findOwner(ConnectionPointer);
    boost::asio::awaitable<void> pump(ConnectionPointer, Socket from, Socket to);
    boost::asio::awaitable<void> waitWhileHung(ConnectionPointer);
    bool isCut(const Connection&) const;
    std::string ownerOf(std::uint32_t inode) const; // Empty where setTarget() has not named the process yet.
    void onThread(std::function<void()>); // Runs it on the relay's thread and waits for its end.

    boost::asio::io_context m_io { 1 };
    boost::asio::steady_timer m_changed; // Cancelled when the split changes.
    std::list<boost::asio::ip::tcp::acceptor> m_acceptors;
    std::map<std::string, Target> m_targets;
    std::list<std::weak_ptr<Connection>> m_connections;
    std::set<std::string> m_group;
    Fault m_fault = Fault::Hang;
    std::thread m_thread;
};

} // namespace dogwoodhall
