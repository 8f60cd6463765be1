#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Blocking HTTP/1.1 over TCP for the stand-ins of the review's scripts.
namespace tanagerlead::review
{

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

struct address
{
    std::string ip_;
    int port_ = 0;

    std::string str() const { return ip_ + ":" + std::to_string(port_); }
};

/// Header fields by name; those of a message that was read have names in lower
/// case, and the last one of a name counts.
using header_map = std::map<std::string, std::string>;

struct request
{
    std::string method_ = "GET";
    /// Path and query.
    std::string target_ = "/";
    header_map headers_;
    std::string body_;

    std::string header(std::string const& name) const;
    /// Value of a query parameter, decoded; empty if it is absent.
    std::string query(std::string_view name) const;
    std::string path() const { return target_.substr(0, target_.find('?')); }
};

struct response
{
    int status_ = 0;
    header_map headers_;
    std::string body_;

    std::string header(std::string const& name) const;
};

/// What came of reading a part of an answer.
enum class read_state : std::uint8_t
{
    more,
    /// The answer is complete.
    end,
    /// The connection closed, was reset or stayed silent for too long.
    broken,
};

/// A TCP connection, which closes when it is destroyed.
class connection
{
public:
    explicit connection(int fd) : fd_{fd} {}
    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;
    ~connection();

    /// Null if the connection is not open within `timeout`. `receive_buffer`
    /// bounds what arrives and is not read yet; 0: as the system does.
    static std::unique_ptr<connection>
    open(address const& to, milliseconds timeout, int receive_buffer = 0);

    int fd() const { return fd_; }
    /// How long a read or a write waits.
    void set_read_timeout(milliseconds timeout);
    /// The connection is reset when it closes.
    void reset_on_close() const;

    bool write(std::string_view bytes) const;
    /// Nothing if the connection closed before a whole request.
    std::optional<request> read_request();
    /// Reads the head of an answer; interim answers are passed over.
    std::optional<response> read_head();
    /// Reads the next bytes of the body of the answer.
    read_state read_body(response const& head, std::string& out);
    /// The peer has closed or reset the connection.
    bool is_closed_by_peer() const;

    /// Bytes that a faulty server sends when the next request has come.
    std::string late_bytes_;

private:
    bool fill();
    std::optional<std::string> read_line();
    read_state read_chunk(std::string& out);
    static bool read_fields(connection& from, header_map& out);

    int fd_;
    milliseconds read_timeout_{1000};
    std::string buffer_;
    /// Bytes of the current body that are still to come; nothing: unknown.
    std::optional<std::int64_t> body_left_;
};

std::string to_text(request const& message);
std::string to_text(response const& message);
std::string to_chunk(std::string_view bytes);

/// One request on a new connection. Nothing if there is no whole answer.
std::optional<response> call(address const& to, request const& message,
                             milliseconds timeout);

/// A port that is free on all of these addresses, and the ports after it.
int find_free_ports(std::vector<std::string> const& ips, int count);

} // namespace tanagerlead::review
