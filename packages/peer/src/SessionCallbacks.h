#pragma once

#include <cstddef>
#include <cstdint>
#include <nghttp2/nghttp2.h>
#include <string_view>

namespace dogwoodhall {

class PeerSession;

// The functions through which nghttp2 reports to a PeerSession. They never run a coroutine.
struct SessionCallbacks {
    // A new nghttp2 session that reports to the PeerSession, or null.
    static nghttp2_session* open(PeerSession&);

    // Gives the bytes of PeerStream::outgoing.
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
    static void countFault(PeerSession&, std::string_view action, std::uint32_t code);
    static int onFrameNotSent(nghttp2_session*, const nghttp2_frame*, int error, void* user);
    static ssize_t readBody(nghttp2_session*, std::int32_t id, std::uint8_t* buf, std::size_t length,
        std::uint32_t* flags, nghttp2_data_source*, void* user);
};

} // namespace dogwoodhall
