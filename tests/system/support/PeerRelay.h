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

// Forwards TCP connections to named processes and can split the processes into two groups that don't reach each other.
// The connecting process is identified by the owner of its socket in /proc, since all processes of a test share
// 127.0.0.1.
class PeerRelay {
public:
    enum class Fault {
        Hang, // Connections can be opened; their bytes are held, and delivered after the split ends.
        Reset, // Existing and new connections are reset.
    };

    PeerRelay();
    PeerRelay(const PeerRelay&) = delete;
    PeerRelay& operator=(const PeerRelay&) = delete;
    ~PeerRelay();

    // Listens in place of the named process, which gets no connection before setTarget().
    NetworkAddress listenFor(const std::string& name);
    void setTarget(const std::string& name, const NetworkAddress&, pid_t);
    // Isolates these processes from all others; ends the previous split.
    void split(std::set<std::string> group, Fault);

private:
    struct Target {
        NetworkAddress address;
        pid_t process = -1;
    };
    struct Connection {
        boost::asio::ip::tcp::socket clientSocket; // Connected to the process that opened the connection.
        boost::asio::ip::tcp::socket targetSocket; // Connected to the target.
        std::string from;
        std::string to;
    };
    using ConnectionPointer = std::shared_ptr<Connection>;
    using Socket = boost::asio::ip::tcp::socket Connection::*;

    boost::asio::awaitable<void> accept(boost::asio::ip::tcp::acceptor&, std::string to);
    boost::asio::awaitable<void> serve(ConnectionPointer);
    boost::asio::awaitable<bool> findOwner(ConnectionPointer);
    boost::asio::awaitable<void> forwardBytes(ConnectionPointer, Socket from, Socket to);
    boost::asio::awaitable<void> waitWhileHung(ConnectionPointer);
    bool crossesSplit(const Connection&) const;
    std::string ownerOf(std::uint32_t inode) const; // Empty if no setTarget() has named the process yet.
    void runOnThread(std::function<void()>); // Runs the task on the relay's thread and waits for it.

    boost::asio::io_context m_io { 1 };
    boost::asio::steady_timer m_changed; // Cancelled when the split or a target changes.
    std::list<boost::asio::ip::tcp::acceptor> m_acceptors;
    std::map<std::string, Target> m_targets;
    std::list<std::weak_ptr<Connection>> m_connections;
    std::set<std::string> m_group;
    Fault m_fault = Fault::Hang;
    std::thread m_thread;
};

} // namespace dogwoodhall
