#include "dogwoodhall/ctl/InputFiles.h"

#include "dogwoodhall/commandline/CommandLine.h"
#include "dogwoodhall/core/HostName.h"
#include "dogwoodhall/routing/PoolEligibility.h"

#include <algorithm>
#include <boost/json.hpp>
#include <map>
#include <ostream>
#include <set>

namespace dogwoodhall {

namespace json = boost::json;

namespace {

bool shareHostName(const ServiceDeclaration& a, const ServiceDeclaration& b)
{
    if (a.hostNames.empty() || b.hostNames.empty())
        return true;
    const std::set<std::string, HostNameLess> names(a.hostNames.begin(), a.hostNames.end());
    return std::any_of(b.hostNames.begin(), b.hostNames.end(), [&](const auto& name) { return names.contains(name); });
}

// Reports services that match the same requests, of which only the one with the lowest id would receive any.
void checkOverlaps(const std::map<RecordKey, std::string>& files, InputFiles& input)
{
    const auto& services = input.services;
    for (std::size_t n = 0; n < services.size(); ++n) {
        for (std::size_t earlier = 0; earlier < n; ++earlier) {
            if (services[n].pathPrefix != services[earlier].pathPrefix
                || !shareHostName(services[n], services[earlier]))
                continue;
            const auto file = files.find(RecordKey("services/" + services[n].id.value()));
            input.problems.push_back({ file == files.end() ? "" : file->second, 0, 0, "",
                "services with different host names or path prefixes",
                "services " + services[earlier].id.value() + " and " + services[n].id.value()
                    + " with the same host name and path prefix " + services[n].pathPrefix });
        }
    }
}

// Reports services that would refuse all requests because their allowed regions have none of their endpoints.
void checkAllowedRegions(const std::map<RecordKey, std::string>& files, InputFiles& input)
{
    const PoolEligibility eligibility(*input.topology);
    for (const auto& service : input.services) {
        if (service.endpoints.empty() || eligibility.hasAllowedEndpoint(service))
            continue;
        const auto file = files.find(RecordKey("services/" + service.id.value()));
        input.problems.push_back({ file == files.end() ? "" : file->second, 0, 0, "",
            "an endpoint in the allowed regions", "service " + service.id.value() + " without one" });
    }
}

void addRecords(
    DeclarationFile& file, const std::string& path, std::map<RecordKey, std::string>& files, InputFiles& input)
{
    for (auto& [key, declaration] : file.records) {
        const auto [it, isNew] = files.emplace(key, path);
        if (!isNew && it->second != path) {
            input.problems.push_back(
                { path, 0, 0, "", "each record in one file", key.value() + ", which " + it->second + " already has" });
        }
        if (auto* service = std::get_if<ServiceDeclaration>(&declaration))
            input.services.push_back(std::move(*service));
        else if (const auto* evacuation = std::get_if<EvacuationDeclaration>(&declaration))
            input.evacuated.insert(evacuation->dataCentre);
        else
            input.topology = std::get<TopologyDeclaration>(std::move(declaration));
    }
}

} // namespace

InputFiles readInputFiles(const std::vector<std::string>& paths)
{
    InputFiles input;
    std::map<RecordKey, std::string> files;
    std::vector<TopologyReference> references;
    for (const auto& path : paths) {
        const auto text = readFile(path);
        if (!text) {
            input.problems.push_back({ path, 0, 0, "", "a readable file", "one that " + text.error() });
            continue;
        }
        auto file = readDeclarationFile(*text, path);
        std::move(file.problems.begin(), file.problems.end(), std::back_inserter(input.problems));
        std::move(file.references.begin(), file.references.end(), std::back_inserter(references));
        if (file.settings)
            input.settings.push_back(std::move(*file.settings));
        addRecords(file, path, files, input);
    }
    std::sort(input.services.begin(), input.services.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
    if (input.topology) {
        auto dangling = checkReferences(references, *input.topology);
        std::move(dangling.begin(), dangling.end(), std::back_inserter(input.problems));
    }
    if (input.problems.empty() && input.topology)
        checkAllowedRegions(files, input);
    if (input.problems.empty())
        checkOverlaps(files, input);
    return input;
}

void printProblems(const Problems& problems, bool asJson, std::ostream& out)
{
    if (!asJson) {
        if (!problems.empty())
            out << toString(problems) << "\n";
        return;
    }
    json::array list;
    for (const auto& problem : problems) {
        list.push_back(json::object { { "file", problem.file }, { "line", problem.line }, { "column", problem.column },
            { "pointer", problem.pointer }, { "expected", problem.expected }, { "found", problem.found } });
    }
    out << json::object { { "valid", problems.empty() }, { "problems", std::move(list) } } << "\n";
}

} // namespace dogwoodhall
