#pragma once

#include <cstddef>
#include <cstdint>
#include <nghttp2/nghttp2.h>
#include <string_view>

namespace dogwoodhall {

class PeerSession;

// The nghttp2 callbacks of a PeerSession. They never resume a coroutine directly.
struct SessionCallbacks {
    // Creates an nghttp2 session that calls back into the PeerSession. Returns null on failure.
    static nghttp2_session* open(PeerSession&);

    // Returns a provider that reads from PeerStream::outgoing.
    static nghttp2_data_provider bodyProvider();

private:
    static int onBeginHeaders(nghttp2_session*, const nghttp2_frame*, void* user);
    static int onHeader(nghttp2_session*, const nghttp2_frame*, const std::uint8_t* name, std::size_t nameLength,
        const std::uint8_t* value, std::size_t valueLength, std::uint8_t flags, void* user);
    static int onFrameReceived(nghttp2_session*, const nghttp2_frame*, void* user);
    static int onData(
        nghttp2_session*, std::uint8_t flags, std::int32_t id, const std::uint8_t* data, std::size_t n, void* user);
    static int onStreamClosed(nghttp2_session*, std::int32_t id, std::uint32_t code, void* user);
    static int onBeforeFrameSent(nghttp2_session*, const nghttp2_frame*, void* user);
    static int onFrameSent(nghttp2_session*, const nghttp2_frame*, void* user);
    static void recordError(PeerSession&, std::string_view action, std::uint32_t code);
    static int onFrameNotSent(nghttp2_session*, const nghttp2_frame*, int error, void* user);
    static ssize_t readBody(nghttp2_session*, std::int32_t id, std::uint8_t* buf, std::size_t length,
        std::uint32_t* flags, nghttp2_data_source*, void* user);
};

} // namespace dogwoodhall
