#include "review/standins-3/caller.hpp"

#include "review/standins-3/daemon.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace tanagerlead::review
{

namespace
{

constexpr std::size_t send_steps = 64;
constexpr std::size_t read_bytes = 65536;
constexpr std::string_view head_end = "\r\n\r\n";

std::string field(std::string const& head, std::string const& name)
{
    auto const at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos)
    {
        return {};
    }
    auto const begin = at + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

std::string head_of(client_request const& request)
{
    auto head = "POST " + request.path_ +
                " HTTP/1.1\r\nHost: shop.example\r\n"
                "Tanagerlead-Request-Id: " +
                request.id_ + "\r\nTanagerlead-Deadline-Ms: " +
                std::to_string(static_cast<std::int64_t>(
                    base::milliseconds(request.deadline_))) +
                "\r\nX-Api-Key: key-1\r\nContent-Length: " +
                std::to_string(request.body_->size()) + "\r\n";
    if (request.last_event_)
    {
        head += "Last-Event-Id: " + std::to_string(*request.last_event_) +
                "\r\nResumes: " + request.resumes_ + "\r\n";
    }
    return head + "\r\n";
}

} // namespace

client::~client()
{
    disconnect();
}

void client::disconnect()
{
    if (socket_ >= 0)
    {
        ::close(socket_);
    }
    socket_ = -1;
    input_.clear();
}

bool client::connect(std::string const& ip)
{
    disconnect();
    socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(callers_port);
    ::inet_pton(AF_INET, ip.c_str(), &to.sin_addr);
    int const on = 1;
    ::setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (::connect(socket_, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0)
    {
        disconnect();
        return false;
    }
    ip_ = ip;
    return true;
}

bool client::send_all(std::string_view bytes) const
{
    while (!bytes.empty())
    {
        auto const sent =
            ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
        {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool client::send_request(std::string const& ip, client_request const& request)
{
    if (socket_ < 0 || ip != ip_)
    {
        if (!connect(ip))
        {
            return false;
        }
    }
    if (!send_all(head_of(request)))
    {
        return false;
    }
    std::string_view body{*request.body_};
    auto const begin = net::now();
    auto const step = std::max<std::size_t>(1, body.size() / send_steps);
    for (std::size_t done = 0; done < body.size(); done += step)
    {
        if (!send_all(body.substr(done, step)))
        {
            return false;
        }
        auto const part =
            static_cast<double>(done + step) / static_cast<double>(body.size());
        auto const due = begin + base::from_seconds(
                                     part * base::seconds(request.send_time_));
        std::this_thread::sleep_for(due - net::now());
    }
    return true;
}

bool client::read_more(base::time_point until)
{
    auto const left = base::milliseconds(until - net::now());
    pollfd ready{socket_, POLLIN, 0};
    if (left <= 0 || ::poll(&ready, 1, static_cast<int>(left) + 1) <= 0)
    {
        is_late_ = true;
        return false;
    }
    std::string bytes(read_bytes, '\0');
    auto const got = ::recv(socket_, bytes.data(), bytes.size(), 0);
    if (got <= 0)
    {
        return false;
    }
    input_.append(bytes, 0, static_cast<std::size_t>(got));
    return true;
}

void client::take_events(std::string& text, client_answer& out)
{
    for (auto end = text.find("\n\n"); end != std::string::npos;
         end = text.find("\n\n"))
    {
        auto const event = text.substr(0, end);
        text.erase(0, end + 2);
        if (event.starts_with("id: "))
        {
            out.last_event_ = std::stoi(event.substr(4));
        }
        auto const version = event.rfind("version ");
        if (version != std::string::npos)
        {
            out.versions_.push_back(event.substr(version + 8));
        }
    }
}

// True if the answer has ended with its last chunk.
bool client::read_chunks(base::time_point until, client_answer& out,
                         std::function<bool(int)> const& on_event)
{
    std::string text;
    while (true)
    {
        auto const line = input_.find("\r\n");
        auto const size = line == std::string::npos
                              ? 0
                              : std::stoul(input_.substr(0, line), nullptr, 16);
        if (line == std::string::npos || input_.size() < line + 2 + size + 2)
        {
            if (!read_more(until))
            {
                return false;
            }
            continue;
        }
        text += input_.substr(line + 2, size);
        input_.erase(0, line + 2 + size + 2);
        if (size == 0)
        {
            return true;
        }
        auto const before = out.last_event_;
        take_events(text, out);
        if (out.last_event_ != before && !on_event(out.last_event_))
        {
            return false;
        }
    }
}

client_answer client::read_answer(base::time_point until,
                                  std::function<bool(int)> const& on_event)
{
    client_answer out;
    is_late_ = false;
    while (input_.find(head_end) == std::string::npos)
    {
        if (!read_more(until))
        {
            out.end_ = is_late_ ? try_end::timed_out : try_end::closed;
            return out;
        }
    }
    auto const size = input_.find(head_end) + head_end.size();
    auto const head = input_.substr(0, size);
    input_.erase(0, size);
    out.status_ = std::stoi(head.substr(head.find(' ') + 1));
    auto const retry = field(head, "Retry-After");
    out.retry_after_seconds_ = retry.empty() ? 0 : std::stod(retry);
    auto is_whole = true;
    if (field(head, "Transfer-Encoding") == "chunked")
    {
        is_whole = read_chunks(until, out, on_event);
    }
    else
    {
        auto const length = std::stoul("0" + field(head, "Content-Length"));
        while (is_whole && input_.size() < length)
        {
            is_whole = read_more(until);
        }
        input_.erase(0, length);
    }
    out.end_ = is_whole   ? try_end::answered
               : is_late_ ? try_end::timed_out
                          : try_end::closed;
    if (!is_whole || field(head, "Connection") == "close")
    {
        disconnect();
    }
    return out;
}

client_answer client::call(std::string const& ip, client_request const& request,
                           std::function<bool(int)> const& on_event)
{
    auto const until = net::now() + request.deadline_;
    record_.on_sent(request.id_, ip);
    client_answer out;
    // An answer may have come although the request could not be sent whole.
    auto const was_sent = send_request(ip, request);
    if (was_sent || socket_ >= 0)
    {
        out = read_answer(until, on_event);
    }
    if (out.end_ != try_end::answered)
    {
        disconnect();
    }
    record_.on_end(request.id_, out.end_, out.status_);
    return out;
}

} // namespace tanagerlead::review
