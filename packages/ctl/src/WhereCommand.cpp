#include "dogwoodhall/core/NetworkAddress.h"
#include "dogwoodhall/ctl/AdminClient.h"
#include "dogwoodhall/ctl/Command.h"

#include <boost/json.hpp>
#include <cstdio>

namespace dogwoodhall {

namespace options = boost::program_options;
namespace json = boost::json;

namespace {

constexpr Duration requestTimeout = std::chrono::seconds(5);
constexpr unsigned okStatus = 200;
constexpr unsigned badRequestStatus = 400;

// Members of a JSON object that may lack them.
class Fields {
public:
    explicit Fields(const json::value& value)
        : m_object(value.if_object())
    {
    }

    bool has(std::string_view name) const
    {
        const auto* value = find(name);
        return value && !value->is_null();
    }
    const json::value* find(std::string_view name) const { return m_object ? m_object->if_contains(name) : nullptr; }
    std::string text(std::string_view name) const
    {
        const auto* value = find(name);
        if (!value)
            return "";
        const auto* text = value->if_string();
        return text ? std::string(*text) : json::serialize(*value);
    }
    bool isTrue(std::string_view name) const
    {
        const auto* value = find(name);
        return value && value->is_bool() && value->get_bool();
    }
    double number(std::string_view name) const
    {
        json::error_code ec;
        const auto* value = find(name);
        return value ? value->to_number<double>(ec) : 0;
    }
    const json::array& array(std::string_view name) const
    {
        static const json::array empty;
        const auto* value = find(name);
        const auto* array = value ? value->if_array() : nullptr;
        return array ? *array : empty;
    }

private:
    const json::object* m_object;
};

std::string encodePercent(const std::string& text)
{
    static constexpr std::string_view unreserved
        = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/";
    std::string encoded;
    for (const char c : text) {
        if (unreserved.find(c) != std::string_view::npos) {
            encoded += c;
            continue;
        }
        char buf[4];
        std::snprintf(buf, sizeof(buf), "%%%02X", static_cast<unsigned>(static_cast<unsigned char>(c)));
        encoded += buf;
    }
    return encoded;
}

std::string targetOf(const Invocation& invocation)
{
    std::string target = "/where?host=" + encodePercent(invocation.text("host"))
        + "&path=" + encodePercent(invocation.text("path")) + "&method=" + encodePercent(invocation.text("method"));
    if (invocation.has("time-left-ms"))
        target += "&timeLeftMs=" + std::to_string(invocation.arguments["time-left-ms"].as<std::int64_t>());
    return target;
}

std::string rounded(double value, int digits)
{
    char buf[64];
    std::snprintf(buf, sizeof(buf), "%.*f", digits, value);
    return buf;
}

void printService(const Fields& document, std::ostream& out)
{
    if (!document.has("route"))
        return;
    out << "Route " << document.text("route") << " of routing document version " << document.text("version") << ".\n";
    const auto& parts = document.array("parts");
    out << "Service " << document.text("service");
    if (parts.size() < 2) {
        out << ", the only one of the route.\n";
        return;
    }
    out << ", whose turn it is in the split";
    const char* separator = " ";
    for (const auto& part : parts) {
        out << separator << Fields(part).text("service") << " " << Fields(part).text("weight");
        separator = ", ";
    }
    out << ".\n";
}

void printEndpoint(const Fields& endpoint, std::ostream& out)
{
    out << "  " << endpoint.text("id") << " at " << endpoint.text("address") << " in " << endpoint.text("dataCentre")
        << " (" << endpoint.text("distance") << "): ";
    if (endpoint.has("excluded")) {
        out << "passed over, " << endpoint.text("excluded") << "\n";
        return;
    }
    out << endpoint.text("running") << " of " << endpoint.text("slots") << " slots in use, " << endpoint.text("waiting")
        << " waiting, slowdown " << rounded(endpoint.number("slowdown"), 2) << ", "
        << (endpoint.has("reportAgeMs") ? "reported " + rounded(endpoint.number("reportAgeMs"), 1) + " ms ago"
                                        : "has not reported")
        << ", expected " << rounded(endpoint.number("expectedMs"), 1) << " ms, chance "
        << rounded(endpoint.number("chance"), 2) << ", value " << rounded(endpoint.number("value"), 3)
        << (endpoint.isTrue("hasRoom") ? "" : ", no room") << (endpoint.isTrue("cold") ? ", cold" : "") << "\n";
}

void printProbes(const Fields& document, std::ostream& out)
{
    const char* start = "A request would first probe ";
    for (const auto& item : document.array("probes")) {
        const Fields round(item);
        const auto& candidates = round.array("candidates");
        out << start << round.text("count") << " of " << candidates.size() << " endpoints (" << round.text("distance")
            << "):";
        for (const auto& id : candidates)
            out << " " << (id.is_string() ? std::string(id.get_string()) : json::serialize(id));
        out << ".\n";
        start = "Then ";
    }
    if (const auto* leaving = document.find("leaving")) {
        out << "Share that leaves the data centre at once: " << rounded(Fields(*leaving).number("sameRegion"), 2)
            << " for the region, " << rounded(Fields(*leaving).number("otherRegion"), 2) << " for other regions.\n";
    }
}

void printText(const Fields& document, const Fields& decision, std::ostream& out)
{
    printService(document, out);
    const auto& endpoints = document.array("endpoints");
    if (!endpoints.empty())
        out << "Endpoints:\n";
    for (const auto& endpoint : endpoints)
        printEndpoint(Fields(endpoint), out);
    printProbes(document, out);
    if (document.has("farthest"))
        out << "Considered as far as: " << document.text("farthest") << ".\n";
    if (document.isTrue("byOldReport"))
        out << "The last report of the best endpoint is old; probes may show another load.\n";
    if (decision.isTrue("sent")) {
        out << "Decision: sent to " << decision.text("endpoint") << ".\n";
        return;
    }
    out << "Decision: refused with " << decision.text("error") << " (" << decision.text("status")
        << "): " << decision.text("text") << (decision.has("best") ? " Best endpoint: " + decision.text("best") : "")
        << (decision.has("best") ? ".\n" : "\n");
}

std::string withoutNewline(std::string text)
{
    while (text.ends_with('\n'))
        text.pop_back();
    return text;
}

int printReply(const Invocation& invocation, const AdminReply& reply)
{
    if (reply.status == badRequestStatus)
        return invocation.fail(withoutNewline(reply.body), badInputExitStatus);
    if (reply.status != okStatus) {
        return invocation.fail("GET /where was answered with status " + std::to_string(reply.status)
                + (reply.body.empty() ? "" : ": " + withoutNewline(reply.body)),
            negativeStatus);
    }
    json::error_code ec;
    const auto document = json::parse(reply.body, ec);
    if (ec)
        return invocation.fail("the answer is not JSON: " + ec.message(), negativeStatus);
    const auto* decision = Fields(document).find("decision");
    if (!decision || !Fields(*decision).has("sent"))
        return invocation.fail("the answer holds no decision", negativeStatus);
    if (invocation.wantsJson())
        invocation.out << document << "\n";
    else
        printText(Fields(document), Fields(*decision), invocation.out);
    return Fields(*decision).isTrue("sent") ? 0 : negativeStatus;
}

int runWhere(const Invocation& invocation)
{
    const auto address = parseRemoteAddress(invocation.text("admin"));
    if (!address)
        return invocation.fail(
            "--admin: expected IP:PORT with a port from 1 to 65535, found \"" + invocation.text("admin") + "\"",
            badInputExitStatus);
    const auto reply = AdminClient(*address).request("GET", targetOf(invocation), requestTimeout);
    return reply ? printReply(invocation, *reply) : invocation.fail(reply.error(), negativeStatus);
}

} // namespace

Command whereCommand()
{
    Command command { "where", "ask a running process where it would send a request now, and why",
        "--admin IP:PORT --host NAME --path PATH [--method METHOD] [--time-left-ms N]",
        { "where --admin 127.0.0.1:9000 --host jingles.example --path /previews/7",
            "where --admin 127.0.0.1:9000 --host shop --path /claims/1 --method POST --time-left-ms 800 --json" },
        {}, {}, runWhere };
    command.options.add_options()("admin", options::value<std::string>()->required()->value_name("IP:PORT"),
        "address of the process's operators' port")("host",
        options::value<std::string>()->required()->value_name("NAME"),
        "Host header of the request, without port")("path",
        options::value<std::string>()->required()->value_name("PATH"), "path of the request; a query is ignored")(
        "method", options::value<std::string>()->default_value("GET")->value_name("METHOD"), "HTTP method")(
        "time-left-ms", options::value<std::int64_t>()->value_name("N"), "time that the caller says it will wait");
    return command;
}

} // namespace dogwoodhall
