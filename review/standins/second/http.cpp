#include "http.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <memory>
#include <random>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace tanagerlead::review
{

namespace
{

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::string trim(std::string const& text)
{
    auto const begin = text.find_first_not_of(" \t");
    auto const end = text.find_last_not_of(" \t");
    return begin == std::string::npos ? std::string{}
                                      : text.substr(begin, end - begin + 1);
}

std::string value_of(header_map const& headers, std::string const& name)
{
    auto const found = std::find_if(
        headers.begin(), headers.end(),
        [&](auto const& field) { return lower(field.first) == lower(name); });
    return found == headers.end() ? std::string{} : found->second;
}

template <class Number>
std::optional<Number> to_number(std::string_view text, int base = 10)
{
    Number out{};
    auto const [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), out, base);
    if (error != std::errc{} || end == text.data())
    {
        return std::nullopt;
    }
    return out;
}

std::string decode(std::string_view text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        auto const code = text[i] == '%' && i + 2 < text.size()
                              ? to_number<int>(text.substr(i + 1, 2), 16)
                              : std::nullopt;
        out.push_back(code ? static_cast<char>(*code) : text[i]);
        i += code ? 2 : 0;
    }
    return out;
}

sockaddr_in to_sockaddr(address const& from)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(from.port_));
    ::inet_pton(AF_INET, from.ip_.c_str(), &out.sin_addr);
    return out;
}

void append_fields(std::string& out, header_map const& headers)
{
    for (auto const& [name, value] : headers)
    {
        out.append(name).append(": ").append(value).append("\r\n");
    }
}

char const* reason(int status)
{
    switch (status)
    {
    case 200:
        return "OK";
    case 421:
        return "Misdirected Request";
    case 503:
        return "Service Unavailable";
    default:
        return "Status";
    }
}

bool can_bind(std::string const& ip, int port, int type)
{
    auto const fd = ::socket(AF_INET, type, 0);
    auto const at = to_sockaddr({ip, port});
    auto const bound =
        ::bind(fd, reinterpret_cast<sockaddr const*>(&at), sizeof at) == 0;
    ::close(fd);
    return bound;
}

} // namespace

std::string request::header(std::string const& name) const
{
    return value_of(headers_, name);
}

std::string response::header(std::string const& name) const
{
    return value_of(headers_, name);
}

std::string request::query(std::string_view name) const
{
    std::string_view rest{target_};
    rest.remove_prefix(std::min(rest.size(), rest.find('?')));
    while (!rest.empty())
    {
        rest.remove_prefix(1);
        auto const field = rest.substr(0, rest.find('&'));
        auto const equals = field.find('=');
        if (field.substr(0, equals) == name && equals != field.npos)
        {
            return decode(field.substr(equals + 1));
        }
        rest.remove_prefix(field.size());
    }
    return {};
}

connection::~connection()
{
    ::close(fd_);
}

std::unique_ptr<connection>
connection::open(address const& to, milliseconds timeout, int receive_buffer)
{
    auto out = std::make_unique<connection>(
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (receive_buffer > 0)
    {
        ::setsockopt(out->fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                     sizeof receive_buffer);
    }
    auto const peer = to_sockaddr(to);
    (void)::connect(out->fd_, reinterpret_cast<sockaddr const*>(&peer),
                    sizeof peer);
    pollfd ready{out->fd_, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (::poll(&ready, 1, static_cast<int>(timeout.count())) != 1 ||
        ::getsockopt(out->fd_, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0)
    {
        return nullptr;
    }
    int const one = 1;
    ::setsockopt(out->fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    out->set_read_timeout(timeout);
    return out;
}

// The socket does not block, so that a read and a write end at their limits.
void connection::set_read_timeout(milliseconds timeout)
{
    read_timeout_ = timeout;
}

void connection::reset_on_close() const
{
    linger const now{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

bool connection::write(std::string_view bytes) const
{
    while (!bytes.empty())
    {
        auto const sent = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent > 0)
        {
            bytes.remove_prefix(static_cast<std::size_t>(sent));
            continue;
        }
        pollfd ready{fd_, POLLOUT, 0};
        if ((errno != EAGAIN && errno != EINTR) ||
            ::poll(&ready, 1, static_cast<int>(read_timeout_.count())) != 1)
        {
            return false;
        }
    }
    return true;
}

bool connection::fill()
{
    pollfd ready{fd_, POLLIN, 0};
    if (::poll(&ready, 1, static_cast<int>(read_timeout_.count())) != 1)
    {
        return false;
    }
    std::array<char, 65536> bytes;
    auto const got = ::recv(fd_, bytes.data(), bytes.size(), 0);
    if (got <= 0)
    {
        return false;
    }
    buffer_.append(bytes.data(), static_cast<std::size_t>(got));
    return true;
}

std::optional<std::string> connection::read_line()
{
    while (true)
    {
        auto const end = buffer_.find("\r\n");
        if (end != std::string::npos)
        {
            auto line = buffer_.substr(0, end);
            buffer_.erase(0, end + 2);
            return line;
        }
        if (!fill())
        {
            return std::nullopt;
        }
    }
}

bool connection::read_fields(connection& from, header_map& out)
{
    while (true)
    {
        auto const line = from.read_line();
        if (!line)
        {
            return false;
        }
        if (line->empty())
        {
            return true;
        }
        auto const colon = line->find(':');
        if (colon != std::string::npos)
        {
            out[lower(line->substr(0, colon))] = trim(line->substr(colon + 1));
        }
    }
}

std::optional<request> connection::read_request()
{
    auto const line = read_line();
    if (!line)
    {
        return std::nullopt;
    }
    request out;
    auto const first = line->find(' ');
    auto const last = line->rfind(' ');
    if (first == std::string::npos || last <= first)
    {
        return std::nullopt;
    }
    out.method_ = line->substr(0, first);
    out.target_ = line->substr(first + 1, last - first - 1);
    if (!read_fields(*this, out.headers_))
    {
        return std::nullopt;
    }
    auto const size =
        to_number<std::size_t>(out.header("content-length")).value_or(0);
    while (buffer_.size() < size)
    {
        if (!fill())
        {
            return std::nullopt;
        }
    }
    out.body_ = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return out;
}

std::optional<response> connection::read_head()
{
    response out;
    do
    {
        auto const line = read_line();
        if (!line || line->size() < 12)
        {
            return std::nullopt;
        }
        out = {};
        out.status_ = to_number<int>(line->substr(9, 3)).value_or(0);
        if (!read_fields(*this, out.headers_))
        {
            return std::nullopt;
        }
    } while (out.status_ / 100 == 1);
    body_left_ = to_number<std::int64_t>(out.header("content-length"));
    return out;
}

read_state connection::read_chunk(std::string& out)
{
    auto const line = read_line();
    auto const size = line ? to_number<std::size_t>(*line, 16) : std::nullopt;
    if (!size)
    {
        return read_state::broken;
    }
    while (buffer_.size() < *size + 2)
    {
        if (!fill())
        {
            return read_state::broken;
        }
    }
    out = buffer_.substr(0, *size);
    buffer_.erase(0, *size + 2);
    return *size == 0 ? read_state::end : read_state::more;
}

read_state connection::read_body(response const& head, std::string& out)
{
    out.clear();
    if (head.header("transfer-encoding") == "chunked")
    {
        return read_chunk(out);
    }
    if (!body_left_)
    {
        // The answer ends with its connection.
        if (buffer_.empty() && !fill())
        {
            return read_state::end;
        }
        out.swap(buffer_);
        return read_state::more;
    }
    if (*body_left_ == 0)
    {
        return read_state::end;
    }
    if (buffer_.empty() && !fill())
    {
        return read_state::broken;
    }
    auto const size = std::min<std::size_t>(
        buffer_.size(), static_cast<std::size_t>(*body_left_));
    out = buffer_.substr(0, size);
    buffer_.erase(0, size);
    *body_left_ -= static_cast<std::int64_t>(size);
    return read_state::more;
}

bool connection::is_closed_by_peer() const
{
    pollfd ready{fd_, POLLIN | POLLRDHUP, 0};
    if (::poll(&ready, 1, 0) != 1)
    {
        return false;
    }
    if ((ready.revents & (POLLERR | POLLHUP | POLLRDHUP)) != 0)
    {
        return true;
    }
    char byte = 0;
    return ::recv(fd_, &byte, 1, MSG_PEEK) == 0;
}

std::string to_text(request const& message)
{
    auto out = message.method_ + " " + message.target_ + " HTTP/1.1\r\n";
    append_fields(out, message.headers_);
    if (!message.body_.empty() || message.method_ == "POST")
    {
        out +=
            "Content-Length: " + std::to_string(message.body_.size()) + "\r\n";
    }
    return out + "\r\n" + message.body_;
}

std::string to_text(response const& message)
{
    auto out = "HTTP/1.1 " + std::to_string(message.status_) + " " +
               reason(message.status_) + "\r\n";
    append_fields(out, message.headers_);
    if (!message.headers_.contains("transfer-encoding"))
    {
        out +=
            "Content-Length: " + std::to_string(message.body_.size()) + "\r\n";
    }
    return out + "\r\n" + message.body_;
}

std::string to_chunk(std::string_view bytes)
{
    std::array<char, 20> size{};
    auto* const end =
        std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16)
            .ptr;
    std::string out{size.data(), end};
    return out.append("\r\n").append(bytes).append("\r\n");
}

std::optional<response> call(address const& to, request const& message,
                             milliseconds timeout)
{
    auto const peer = connection::open(to, timeout);
    if (!peer || !peer->write(to_text(message)))
    {
        return std::nullopt;
    }
    auto answer = peer->read_head();
    if (!answer)
    {
        return std::nullopt;
    }
    std::string piece;
    auto state = read_state::more;
    while (state == read_state::more)
    {
        state = peer->read_body(*answer, piece);
        answer->body_ += piece;
    }
    return state == read_state::end ? answer : std::nullopt;
}

int find_free_ports(std::vector<std::string> const& ips, int count)
{
    std::mt19937 random{std::random_device{}()};
    std::uniform_int_distribution<int> some{12000, 30000};
    constexpr int max_tries = 1000;
    for (int i = 0; i < max_tries; ++i)
    {
        auto const first = some(random);
        auto is_free = true;
        for (auto const& ip : ips)
        {
            for (auto port = first; is_free && port < first + count; ++port)
            {
                is_free = can_bind(ip, port, SOCK_STREAM) &&
                          can_bind(ip, port, SOCK_DGRAM);
            }
        }
        if (is_free)
        {
            return first;
        }
    }
    return 0;
}

} // namespace tanagerlead::review
