#include "dogwoodhall/declarations/SettingsParser.h"

#include <boost/json.hpp>

namespace dogwoodhall {

namespace json = boost::json;

namespace {

NetworkAddress addressAt(const json::object& object, std::string_view name)
{
    auto address = parseNetworkAddress(json::value_to<std::string>(object.at(name)));
    if (!address)
        throw std::invalid_argument(std::string(name) + ": expected IP:PORT");
    return *address;
}

} // namespace

tl::expected<Settings, std::string> parseSettings(std::string_view text)
{
    json::parse_options options;
    options.allow_comments = true;
    try {
        const auto document = json::parse(text, {}, options);
        const auto& object = document.as_object();
        Settings settings;
        settings.member = MemberId(json::value_to<std::string>(object.at("member")));
        settings.dataCentre = DataCentreId(json::value_to<std::string>(object.at("dataCentre")));
        settings.callerAddress = addressAt(object, "callerAddress");
        settings.peerAddress = addressAt(object, "peerAddress");
        settings.adminAddress = addressAt(object, "adminAddress");
        settings.platformAddress = addressAt(object, "platformAddress");
        if (const auto* threads = object.if_contains("trafficThreads"))
            settings.trafficThreads = threads->to_number<std::uint32_t>();
        return settings;
    } catch (const std::exception& error) {
        return tl::unexpected(std::string(error.what()));
    }
}

} // namespace dogwoodhall
