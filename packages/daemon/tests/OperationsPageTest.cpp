// Before criterion.h, whose macro Test would replace names inside Boost.
#include <boost/json.hpp>

#include "ManualPage.h"
#include "TableRows.h"
#include "dogwoodhall/daemon/DaemonMetrics.h"
#include "dogwoodhall/daemon/control/StatusReport.h"

#include <algorithm>
#include <filesystem>

using namespace dogwoodhall;

namespace {

using Names = std::set<std::string>;

Names metricNames()
{
    MetricsRegistry registry;
    const DaemonMetrics metrics(registry);
    return ManualPage::matches(registry.toPrometheusText(), "# TYPE (\\S+)");
}

Names errorKindNames()
{
    Names names;
    for (std::size_t n = 0; n < errorKindCount; ++n)
        names.emplace(answerFor(static_cast<ErrorKind>(n)).name);
    return names;
}

Names statusFields()
{
    Names names;
    const auto status = boost::json::parse(toJson(StatusReport {}));
    for (const auto& [name, value] : status.as_object())
        names.insert(value.is_array() ? std::string(name) + "[]" : std::string(name));
    return names;
}

// "part: Sentence" of each log line that is written, up to the first value in it.
Names logLines()
{
    std::string sources;
    for (const auto& file : std::filesystem::recursive_directory_iterator(SOURCE_FOLDER)) {
        if (file.is_regular_file())
            sources += ManualPage::wholeFile(file.path());
    }
    Names lines;
    const std::regex line("DOGWOODHALL_LOG\\((\\w+), \\w+\\)\\s*<< \"([^\":.;]+)");
    for (std::sregex_iterator it(sources.begin(), sources.end(), line), end; it != end; ++it)
        lines.insert((*it)[1].str() + ": " + (*it)[2].str());
    return lines;
}

} // namespace

struct PageRow {
    const char* heading; // Empty: the whole page.
    const char* expression; // Whose first group is a name.
    Names (*inCode)();
    bool namesAll;
};

const PageRow rows[] = {
    { "## Metrics", "`(dogwoodhall_[a-z_]+)", metricNames, true },
    { "", "(dogwoodhall_[a-z_]+)", metricNames, true },
    { "## Error kinds", "(?:\\| |, )`([a-z-]+)`(?=[^|]*\\| \\d)", errorKindNames, true },
    { "# Operations", "(?:\\| |, )`([a-zA-Z]+(?:\\[\\])?)`(?=[^|]*\\| (?!200))", statusFields, true },
    { "", "`((?:config|daemon|fleet|peer|platform|request|trace): [^`]+?)(?: N s)?`", logLines, false },
};

// Guards against a metric, an error kind, a status field or a log line that the page lacks, or that only the page has.
ParameterizedTestParameters(OperationsPage, namesWhatExists) { return rowIndices(rows); }

ParameterizedTest(std::size_t* index, OperationsPage, namesWhatExists)
{
    const PageRow& row = rows[*index];
    const auto onPage
        = ManualPage::matches(ManualPage(DOCS_FOLDER "/OPERATIONS.md").section(row.heading), row.expression);
    const auto inCode = row.inCode();
    cr_assert_not(onPage.empty());
    for (const auto& name : onPage) {
        const bool exists = std::any_of(inCode.begin(), inCode.end(),
            [&](const auto& it) { return row.namesAll ? it == name : it.starts_with(name) || name.starts_with(it); });
        cr_expect(exists, "row %zu: the code lacks %s", *index, name.c_str());
    }
    for (const auto& name : inCode)
        cr_expect(!row.namesAll || onPage.contains(name), "row %zu: the page lacks %s", *index, name.c_str());
}
