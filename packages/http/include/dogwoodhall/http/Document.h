#pragma once

#include "dogwoodhall/http/UpstreamClient.h"

#include <string>

namespace dogwoodhall {

struct DocumentLimits {
    Duration headTimeout {}; // From the call to the response head.
    Duration bodyTimeout {}; // For the response body.
    ByteCount size;
};

struct Document {
    unsigned status = 0;
    HeaderFields fields;
    std::string body;
};

// Fetches a document by GET and reads it completely, regardless of its status. The client must outlive the call. Fails
// with ErrorKind::UpstreamTruncated if the response began but did not arrive completely.
ExchangeResult<Document> getDocument(UpstreamClient&, NetworkAddress, std::string target, DocumentLimits);

} // namespace dogwoodhall
