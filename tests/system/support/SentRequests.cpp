#include "SentRequests.h"

#include <algorithm>
#include <criterion/criterion.h>

namespace dogwoodhall {

void SentRequests::send(
    const DaemonProcess& daemon, const std::string& target, std::size_t count, bool mayFailGet, bool mayFailPost)
{
    for (std::size_t n = 0; n < count; ++n) {
        const bool isPost = n % 2 == 1;
        const std::string method = isPost ? "POST" : "GET";
        // Bodies differ in length, so that responses can be told apart.
        const std::string body(isPost ? m_sent.size() + 1 : 0, 'b');
        const auto id = std::to_string(m_sent.size()) + "-" + daemon.name + "-" + method;
        m_sent.push_back({ id, method, " received " + std::to_string(body.size()) + " bytes\n",
            isPost ? mayFailPost : mayFailGet, std::make_unique<TestClient>(daemon.caller), {} });
        m_sent.back().client->send(TestRequest { method, target, m_fields, body, id }.text());
    }
}

std::size_t SentRequests::readAll()
{
    std::size_t served = 0;
    for (auto& sent : m_sent) {
        if (!sent.client)
            continue;
        sent.response = sent.client->readResponse();
        sent.client.reset();
        served += sent.response.status == 200;
    }
    return served;
}

std::size_t SentRequests::failuresWithoutProof() const
{
    return static_cast<std::size_t>(std::count_if(m_sent.begin(), m_sent.end(), [](const Sent& sent) {
        return sent.response.status != 200 && sent.response.field("Dogwoodhall-Outcome") != "not-run";
    }));
}

void SentRequests::check(const Cluster& cluster) const
{
    for (const auto& sent : m_sent)
        checkOne(cluster, sent);
}

void SentRequests::checkOne(const Cluster& cluster, const Sent& sent) const
{
    const auto* id = sent.id.c_str();
    const auto& response = sent.response;
    const auto runs = cluster.runs(sent.id);
    const auto outcome = response.field("Dogwoodhall-Outcome");
    const auto error = response.field("Dogwoodhall-Error");
    cr_assert(response.status && response.isComplete, "%s: %s got no complete response", m_row, id);
    cr_assert(response.status != 200 || response.body.ends_with(sent.expected), "%s: %s", m_row, id);
    cr_assert(response.status != 200 || runs >= 1, "%s: %s did not run", m_row, id);
    cr_assert(response.status == 200 || !outcome.empty(), "%s: %s has no outcome", m_row, id);
    cr_assert(response.status == 200 || sent.mayFail, "%s: %s got %u %s", m_row, id, response.status, error.c_str());
    cr_assert(outcome != "not-run" || runs == 0, "%s: %s ran", m_row, id);
    cr_assert(sent.method == "GET" || runs <= 1, "%s: %s ran %zu times", m_row, id, runs);
}

} // namespace dogwoodhall
