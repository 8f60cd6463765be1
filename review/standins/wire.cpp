#include "wire.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <cstring>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review
{

namespace
{

bool is_same_name(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](unsigned char x, unsigned char y)
                      { return std::tolower(x) == std::tolower(y); });
}

sockaddr_in to_socket_address(address const& at)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(at.port_);
    ::inet_pton(AF_INET, at.ip_.c_str(), &out.sin_addr);
    return out;
}

int bind_to(address const& at)
{
    auto const made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    ::setsockopt(made, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto const to = to_socket_address(at);
    if (::bind(made, reinterpret_cast<sockaddr const*>(&to), sizeof to) != 0)
    {
        ::close(made);
        return -1;
    }
    return made;
}

int time_left(steady::time_point until)
{
    auto const left =
        std::chrono::duration_cast<milliseconds>(until - steady::now());
    return static_cast<int>(std::clamp<std::int64_t>(left.count(), 0, 120000));
}

void set_no_delay(int descriptor)
{
    int const on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

constexpr std::string_view digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

} // namespace

address parse_address(std::string const& text)
{
    auto const colon = text.rfind(':');
    return {text.substr(0, colon),
            static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
}

std::string message::value(std::string_view name) const
{
    auto const found = std::find_if(fields_.begin(), fields_.end(),
                                    [&](auto const& f)
                                    { return is_same_name(f.first, name); });
    return found == fields_.end() ? std::string{} : found->second;
}

void message::add(std::string name, std::string value)
{
    fields_.emplace_back(std::move(name), std::move(value));
}

std::string message::word(std::size_t number) const
{
    std::istringstream words{first_line_};
    std::string out;
    for (std::size_t i = 0; i <= number; ++i)
    {
        out.clear();
        words >> out;
    }
    return out;
}

int message::status() const
{
    auto const text = word(1);
    return text.empty() ? 0 : std::stoi(text);
}

std::string message::head_text(std::string const& framing) const
{
    auto out = first_line_ + "\r\n";
    for (auto const& [name, value] : fields_)
    {
        out.append(name).append(": ").append(value).append("\r\n");
    }
    if (!framing.empty())
    {
        out += framing + "\r\n";
    }
    return out + "\r\n";
}

connection::~connection()
{
    ::close(descriptor_);
}

std::unique_ptr<connection>
connection::open(address const& to, milliseconds timeout, int receive_buffer)
{
    auto const made =
        ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto out = std::make_unique<connection>(made);
    if (receive_buffer > 0)
    {
        ::setsockopt(made, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                     sizeof receive_buffer);
    }
    auto const at = to_socket_address(to);
    if (::connect(made, reinterpret_cast<sockaddr const*>(&at), sizeof at) != 0)
    {
        pollfd wait{made, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS ||
            ::poll(&wait, 1, static_cast<int>(timeout.count())) != 1 ||
            ::getsockopt(made, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
            error != 0)
        {
            return nullptr;
        }
    }
    ::fcntl(made, F_SETFL, ::fcntl(made, F_GETFL) & ~O_NONBLOCK);
    set_no_delay(made);
    return out;
}

bool connection::send(std::string_view bytes)
{
    while (!bytes.empty())
    {
        auto const sent =
            ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
        {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

read_end connection::fill(steady::time_point until)
{
    pollfd wait{descriptor_, POLLIN, 0};
    if (::poll(&wait, 1, time_left(until)) != 1)
    {
        return read_end::broken;
    }
    std::array<char, 65536> bytes{};
    auto const got = ::recv(descriptor_, bytes.data(), bytes.size(), 0);
    if (got > 0)
    {
        buffer_.append(bytes.data(), static_cast<std::size_t>(got));
        return read_end::ok;
    }
    return got == 0 ? read_end::closed : read_end::broken;
}

read_end connection::read_line(std::string& line, steady::time_point until)
{
    auto end = buffer_.find("\r\n");
    while (end == std::string::npos)
    {
        auto const got = fill(until);
        if (got != read_end::ok)
        {
            return got;
        }
        end = buffer_.find("\r\n");
    }
    line = buffer_.substr(0, end);
    buffer_.erase(0, end + 2);
    return read_end::ok;
}

read_end connection::read_bytes(std::size_t count, std::string& out,
                                steady::time_point until)
{
    while (buffer_.size() < count)
    {
        auto const got = fill(until);
        if (got != read_end::ok)
        {
            return got;
        }
    }
    out.append(buffer_, 0, count);
    buffer_.erase(0, count);
    return read_end::ok;
}

read_end connection::read_head(message& out, steady::time_point until)
{
    out = {};
    auto got = read_line(out.first_line_, until);
    std::string line;
    while (got == read_end::ok)
    {
        got = read_line(line, until);
        if (got != read_end::ok || line.empty())
        {
            break;
        }
        auto const colon = line.find(':');
        auto const begin = line.find_first_not_of(" \t", colon + 1);
        out.add(line.substr(0, colon),
                begin == std::string::npos ? "" : line.substr(begin));
    }
    return got;
}

read_end connection::read_chunk(std::string& out, steady::time_point until)
{
    out.clear();
    std::string line;
    auto got = read_line(line, until);
    if (got != read_end::ok)
    {
        return got;
    }
    auto const size = std::stoul(line, nullptr, 16);
    got = read_bytes(size, out, until);
    return got == read_end::ok ? read_line(line, until) : got;
}

read_end connection::read_body(message& out, steady::time_point until)
{
    auto const length = out.value("Content-Length");
    return length.empty() ? read_end::ok
                          : read_bytes(std::stoul(length), out.body_, until);
}

read_end connection::read_request(message& out, steady::time_point until)
{
    auto got = read_head(out, until);
    if (got != read_end::ok || out.value("Transfer-Encoding") != "chunked")
    {
        return got == read_end::ok ? read_body(out, until) : got;
    }
    std::string chunk;
    do
    {
        got = read_chunk(chunk, until);
        out.body_ += chunk;
    } while (got == read_end::ok && !chunk.empty());
    return got;
}

bool connection::has_peer_left() const
{
    pollfd look{descriptor_, POLLRDHUP, 0};
    return ::poll(&look, 1, 0) > 0;
}

void connection::reset_at_end() const
{
    linger const hard{1, 0};
    ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
}

int listen_at(address& at)
{
    auto const made = bind_to(at);
    constexpr int backlog = 512;
    if (made < 0 || ::listen(made, backlog) != 0)
    {
        return -1;
    }
    sockaddr_in own{};
    socklen_t size = sizeof own;
    ::getsockname(made, reinterpret_cast<sockaddr*>(&own), &size);
    at.port_ = ntohs(own.sin_port);
    return made;
}

std::unique_ptr<connection> accept_from(int listener)
{
    auto const made = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (made < 0)
    {
        return nullptr;
    }
    set_no_delay(made);
    return std::make_unique<connection>(made);
}

bool is_port_free(address const& at)
{
    auto const made = bind_to(at);
    if (made >= 0)
    {
        ::close(made);
    }
    return made >= 0;
}

std::string encode_base64(std::string_view bytes)
{
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
        {
            auto const has = i + k < bytes.size();
            group = group << 8U |
                    (has ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k)
        {
            auto const has = k == 0 || i + k <= bytes.size();
            out.push_back(has ? digits[group >> (18U - 6U * k) & 63U] : '=');
        }
    }
    return out;
}

std::string decode_base64(std::string_view text)
{
    std::string out;
    std::uint32_t group = 0;
    int bits = 0;
    for (auto const c : text)
    {
        auto const digit = digits.find(c);
        if (digit == std::string_view::npos)
        {
            break;
        }
        group = group << 6U | static_cast<std::uint32_t>(digit);
        bits += 6;
        if (bits >= 8)
        {
            bits -= 8;
            out.push_back(static_cast<char>(group >> bits & 255U));
        }
    }
    return out;
}

std::string query_value(std::string const& target, std::string const& name)
{
    auto const query = target.substr(std::min(target.find('?'), target.size()));
    auto at = query.find('?' + name + '=');
    at = at == std::string::npos ? query.find('&' + name + '=') : at;
    if (at == std::string::npos)
    {
        return {};
    }
    auto const begin = at + name.size() + 2;
    auto const raw = query.substr(begin, query.find('&', begin) - begin);
    std::string out;
    for (std::size_t i = 0; i < raw.size(); ++i)
    {
        if (raw[i] == '%' && i + 2 < raw.size())
        {
            out.push_back(static_cast<char>(
                std::stoi(raw.substr(i + 1, 2), nullptr, 16)));
            i += 2;
        }
        else
        {
            out.push_back(raw[i]);
        }
    }
    return out;
}

record_file::record_file(std::string const& path, bool is_new)
    : descriptor_{::open(path.c_str(),
                         O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC |
                             (is_new ? O_TRUNC : 0),
                         0644)}
{
}

record_file::~record_file()
{
    ::close(descriptor_);
}

void record_file::write(std::string const& line)
{
    // The clock is the same in all processes.
    auto const ms = std::chrono::duration_cast<milliseconds>(
                        steady::now().time_since_epoch())
                        .count();
    auto const text = std::to_string(ms) + " " + line + "\n";
    (void)!::write(descriptor_, text.data(), text.size());
}

} // namespace review
