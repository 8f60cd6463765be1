#pragma once

#include "src/base/address.hpp"
#include "src/base/error.hpp"

#include <netinet/in.h>

#include <utility>

namespace tanagerlead::peer
{

/// Owns a socket descriptor.
class socket
{
public:
    socket() = default;
    explicit socket(int descriptor) : descriptor_{descriptor} {}
    socket(socket&& other) noexcept
        : descriptor_{std::exchange(other.descriptor_, -1)}
    {
    }
    socket& operator=(socket&& other) noexcept
    {
        std::swap(descriptor_, other.descriptor_);
        return *this;
    }
    ~socket();

    int get() const { return descriptor_; }
    bool is_open() const { return descriptor_ >= 0; }
    /// Wakes every thread blocked on the socket.
    void shut_down() const;

private:
    int descriptor_ = -1;
};

sockaddr_in native(base::address const& from);
base::address from_native(sockaddr_in const& from);

/// A bound socket; `type` is SOCK_DGRAM or SOCK_STREAM. Port 0: the kernel
/// picks.
base::result<socket> bind_socket(int type, base::address const& to);
base::address local_address(socket const& bound);

} // namespace tanagerlead::peer
