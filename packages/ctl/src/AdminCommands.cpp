#include "dogwoodhall/core/NetworkAddress.h"
#include "dogwoodhall/ctl/AdminClient.h"
#include "dogwoodhall/ctl/Command.h"

#include <boost/json.hpp>

namespace dogwoodhall {

namespace options = boost::program_options;
namespace json = boost::json;

namespace {

constexpr Duration requestTimeout = std::chrono::seconds(5);
constexpr std::int64_t maxWaitSeconds = 7 * 24 * 3600;
constexpr unsigned okStatus = 200;
constexpr unsigned acceptedStatus = 202;

std::string badAddress(const Invocation& invocation)
{
    return "--admin: expected IP:PORT with a port from 1 to 65535, found \"" + invocation.text("admin") + "\"";
}

// Prints one value per line, as "a.b: value".
void printFlat(const std::string& name, const json::value& value, std::ostream& out)
{
    const auto nested = [&](const std::string& part) { return name.empty() ? part : name + "." + part; };
    if (const auto* object = value.if_object()) {
        for (const auto& [key, member] : *object)
            printFlat(nested(std::string(key)), member, out);
    } else if (const auto* array = value.if_array()) {
        for (std::size_t n = 0; n < array->size(); ++n)
            printFlat(nested(std::to_string(n)), (*array)[n], out);
    } else if (const auto* text = value.if_string()) {
        out << name << ": " << std::string(*text) << "\n";
    } else {
        out << name << ": " << value << "\n";
    }
}

int runStatus(const Invocation& invocation)
{
    const auto address = parseRemoteAddress(invocation.text("admin"));
    if (!address)
        return invocation.fail(badAddress(invocation), badInputExitStatus);
    const auto reply = AdminClient(*address).request("GET", "/status", requestTimeout);
    if (!reply)
        return invocation.fail(reply.error(), negativeStatus);
    if (reply->status != okStatus) {
        return invocation.fail("GET /status was answered with status " + std::to_string(reply->status), negativeStatus);
    }
    json::error_code ec;
    const auto document = json::parse(reply->body, ec);
    if (ec)
        return invocation.fail("the answer is not JSON: " + ec.message(), negativeStatus);
    if (invocation.wantsJson())
        invocation.out << document << "\n";
    else
        printFlat("", document, invocation.out);
    return 0;
}

int reportStop(
    const Invocation& invocation, const NetworkAddress& address, const tl::expected<bool, std::string>& stopped)
{
    if (!stopped)
        return invocation.fail(stopped.error(), negativeStatus);
    if (!*stopped) {
        return invocation.fail(
            "the process at " + toString(address) + " is still draining; it goes on until its requests have finished",
            negativeStatus);
    }
    if (invocation.wantsJson())
        invocation.out << json::object { { "stopped", true } } << "\n";
    else
        invocation.out << "The process at " << toString(address) << " has stopped.\n";
    return 0;
}

int runDrain(const Invocation& invocation)
{
    const auto address = parseRemoteAddress(invocation.text("admin"));
    if (!address)
        return invocation.fail(badAddress(invocation), badInputExitStatus);
    const auto waitSeconds = invocation.arguments["wait-seconds"].as<std::int64_t>();
    if (waitSeconds < 0 || waitSeconds > maxWaitSeconds) {
        return invocation.fail("--wait-seconds: expected a whole number from 0 to " + std::to_string(maxWaitSeconds)
                + ", found " + std::to_string(waitSeconds),
            badInputExitStatus);
    }
    AdminClient client(*address);
    const auto reply = client.request("POST", "/drain", requestTimeout);
    if (!reply)
        return invocation.fail(reply.error(), negativeStatus);
    if (reply->status != acceptedStatus && reply->status != okStatus) {
        return invocation.fail("POST /drain was answered with status " + std::to_string(reply->status), negativeStatus);
    }
    if (!invocation.wantsJson())
        invocation.out << "Draining; waiting for the requests in flight." << std::endl;
    return reportStop(invocation, *address, client.waitUntilStopped(std::chrono::seconds(waitSeconds)));
}

} // namespace

Command statusCommand()
{
    Command command { "status", "print the state of a running process", "--admin IP:PORT",
        { "status --admin 127.0.0.1:9000", "status --admin 127.0.0.1:9000 --json" }, {}, {}, runStatus };
    command.options.add_options()("admin", options::value<std::string>()->required()->value_name("IP:PORT"),
        "address of the process's operators' port");
    return command;
}

Command drainCommand()
{
    Command command { "drain", "stop a process gracefully and wait until it has stopped",
        "--admin IP:PORT [--wait-seconds N]",
        { "drain --admin 127.0.0.1:9000", "drain --admin 127.0.0.1:9000 --wait-seconds 600" }, {}, {}, runDrain };
    command.options.add_options()("admin", options::value<std::string>()->required()->value_name("IP:PORT"),
        "address of the process's operators' port")("wait-seconds",
        options::value<std::int64_t>()->default_value(0)->value_name("N"),
        "longest wait; 0 waits without a limit, as a long download may take hours. The process goes on draining when "
        "the wait ends");
    return command;
}

} // namespace dogwoodhall
