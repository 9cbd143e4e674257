#include "dogwoodhall/http/RequestPipeline.h"

#include <algorithm>

namespace dogwoodhall {

bool canRunAhead(const RequestHead& head)
{
    const bool isSafe = head.method == "GET" || head.method == "HEAD";
    return isSafe && head.bodyLength.kind == BodyLength::Kind::None;
}

RequestPipeline::RequestPipeline(std::size_t limit)
    : m_limit(std::max<std::size_t>(limit, 1))
{
}

bool RequestPipeline::mayReadNext() const { return !m_isStopping && !m_isClosing && m_requests.size() < m_limit; }

RequestNumber RequestPipeline::add(bool keepsOpen)
{
    const RequestNumber number(m_nextNumber++);
    m_requests.push_back({ number });
    if (!keepsOpen)
        closeAfter(number);
    return number;
}

bool RequestPipeline::isTurn(RequestNumber number) const
{
    return !m_requests.empty() && first() == number && !m_requests.front().isDropped;
}

bool RequestPipeline::isDropped(RequestNumber number) const
{
    const auto* request = find(number);
    return !request || request->isDropped;
}

bool RequestPipeline::beginAnswer(RequestNumber number)
{
    if (m_isStopping && m_requests.back().number == number)
        closeAfter(number);
    return !m_isClosing || m_closesAfter > number;
}

std::vector<RequestNumber> RequestPipeline::end(RequestNumber number, Ending ending)
{
    std::vector<RequestNumber> dropped;
    if (ending == Ending::Unanswered)
        dropped = closeAfter(number);
    for (auto& request : m_requests)
        request.hasEnded = request.hasEnded || request.number == number;
    while (!m_requests.empty() && m_requests.front().hasEnded)
        m_requests.pop_front();
    return dropped;
}

const RequestPipeline::Request* RequestPipeline::find(RequestNumber number) const
{
    const auto it = std::find_if(
        m_requests.begin(), m_requests.end(), [number](const Request& request) { return request.number == number; });
    return it == m_requests.end() ? nullptr : &*it;
}

std::vector<RequestNumber> RequestPipeline::closeAfter(RequestNumber number)
{
    std::vector<RequestNumber> dropped;
    if (m_isClosing && m_closesAfter <= number)
        return dropped;
    m_isClosing = true;
    m_closesAfter = number;
    for (auto& request : m_requests) {
        if (request.number <= number || request.isDropped)
            continue;
        request.isDropped = true;
        if (!request.hasEnded)
            dropped.push_back(request.number);
    }
    return dropped;
}

} // namespace dogwoodhall
