#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Stand-ins for the review: blocking sockets and threads, nothing of the
/// project's own code.
namespace review
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

struct address
{
    std::string ip_;
    std::uint16_t port_ = 0;

    std::string str() const { return ip_ + ":" + std::to_string(port_); }
};

address parse_address(std::string const& text);

/// A request or an answer of HTTP/1.1.
struct message
{
    std::string first_line_;
    std::vector<std::pair<std::string, std::string>> fields_;
    std::string body_;

    /// Empty if there is no such field.
    std::string value(std::string_view name) const;
    void add(std::string name, std::string value);
    /// The word of the first line with this number, from 0.
    std::string word(std::size_t number) const;
    int status() const;
    /// The text on the wire; `framing` is the last field, or empty.
    std::string head_text(std::string const& framing) const;
};

enum class read_end : std::uint8_t
{
    ok,
    /// The peer closed in an orderly way.
    closed,
    /// The connection was reset, or nothing came in time.
    broken,
};

/// One TCP connection.
class connection
{
public:
    explicit connection(int descriptor) : descriptor_{descriptor} {}
    ~connection();
    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;

    /// Null if it cannot be opened in time. `receive_buffer` bounds what is
    /// received and not yet read; 0: as the system likes.
    static std::unique_ptr<connection>
    open(address const& to, milliseconds timeout, int receive_buffer = 0);

    bool send(std::string_view bytes);
    /// Waits for at least one more byte.
    read_end fill(steady::time_point until);
    read_end read_line(std::string& line, steady::time_point until);
    read_end read_bytes(std::size_t count, std::string& out,
                        steady::time_point until);
    /// The first line and the fields.
    read_end read_head(message& out, steady::time_point until);
    /// A request with its body, by length or in chunks.
    read_end read_request(message& out, steady::time_point until);
    /// The next chunk of a body; empty for the last one.
    read_end read_chunk(std::string& out, steady::time_point until);
    /// The body of an answer by its length.
    read_end read_body(message& out, steady::time_point until);
    bool has_peer_left() const;
    /// The connection is reset instead of closed.
    void reset_at_end() const;

private:
    int descriptor_;
    std::string buffer_;
};

/// Opens a listening socket; with port 0 the system chooses one, which is
/// written back. Negative if that fails.
int listen_at(address& at);
/// The next connection; null once the socket is closed.
std::unique_ptr<connection> accept_from(int listener);
bool is_port_free(address const& at);

std::string encode_base64(std::string_view bytes);
std::string decode_base64(std::string_view text);
/// Decoded value of a field of the query; empty if there is none.
std::string query_value(std::string const& target, std::string const& name);

/// Appends one line to a file, also with other processes.
class record_file
{
public:
    explicit record_file(std::string const& path, bool is_new);
    ~record_file();
    record_file(record_file const&) = delete;
    record_file& operator=(record_file const&) = delete;

    void write(std::string const& line);

private:
    int descriptor_;
};

} // namespace review
