#pragma once

#include "dogwoodhall/http/UpstreamClient.h"

#include <string>

namespace dogwoodhall {

struct DocumentLimits {
    Duration headTimeout {}; // From the call to the head of the answer.
    Duration bodyTimeout {}; // For the rest of the answer.
    ByteCount size;
};

struct Document {
    unsigned status = 0;
    std::string body;
};

// Reads a document whole by GET, whatever its status. The client must outlive the call.
ExchangeResult<Document> getDocument(UpstreamClient&, NetworkAddress, std::string target, DocumentLimits);

} // namespace dogwoodhall
