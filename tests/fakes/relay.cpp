#include "tests/fakes/relay.hpp"

#include <boost/outcome/try.hpp>
#include <httplib.h>

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cstring>

namespace tanagerlead::fakes
{

namespace
{

constexpr int listen_backlog = 1024;
constexpr int control_threads = 4;
constexpr std::size_t buffer_bytes = 65536;
/// TCP and UDP need the same port; the kernel picks it for TCP only.
constexpr int most_bind_tries = 20;

peer::socket connect_to(int type, base::address const& to)
{
    peer::socket made{::socket(AF_INET, type | SOCK_CLOEXEC, 0)};
    auto const far = peer::native(to);
    if (::connect(made.get(), reinterpret_cast<sockaddr const*>(&far),
                  sizeof far) != 0)
    {
        return {};
    }
    return made;
}

void send_at_once(int descriptor)
{
    int const on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

/// Closing then resets the connection, as a cut does.
void reset_on_close(int descriptor)
{
    linger const at_once{1, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

bool same_sender(sockaddr_in const& a, sockaddr_in const& b)
{
    return a.sin_port == b.sin_port && a.sin_addr.s_addr == b.sin_addr.s_addr;
}

} // namespace

relay::relay(base::address listen, base::address far)
    : listen_{std::move(listen)}, far_{std::move(far)}, control_{
                                                            {{listen_.ip_, 0},
                                                             control_threads}}
{
}

relay::~relay()
{
    stop();
}

base::result<void> relay::start()
{
    BOOST_OUTCOME_TRYV(bind());
    std::array<int, 2> pair{-1, -1};
    if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0,
                     pair.data()) != 0)
    {
        return base::fail(base::error_code::unavailable, "start relay", {},
                          std::strerror(errno));
    }
    wake_read_ = peer::socket{pair[0]};
    wake_write_ = peer::socket{pair[1]};
    add_routes();
    BOOST_OUTCOME_TRYV(control_.start());
    thread_ = std::thread{[this]
                          {
                              run();
                          }};
    return base::success();
}

void relay::stop()
{
    control_.stop();
    if (!thread_.joinable())
    {
        return;
    }
    {
        std::lock_guard const lock{mutex_};
        stopping_ = true;
    }
    wake();
    thread_.join();
    // Connects are refused before the ends of a connection learn anything.
    tcp_.shut_down();
    connections_.clear();
}

base::result<void> relay::bind()
{
    for (int tries = 0; tries < most_bind_tries; ++tries)
    {
        BOOST_OUTCOME_TRY(auto tcp, peer::bind_socket(SOCK_STREAM, listen_));
        auto const local = peer::local_address(tcp);
        auto udp = peer::bind_socket(SOCK_DGRAM, local);
        if (!udp)
        {
            continue;
        }
        if (::listen(tcp.get(), listen_backlog) != 0)
        {
            break;
        }
        tcp_ = std::move(tcp);
        udp_ = std::move(udp.value());
        local_ = local;
        return base::success();
    }
    return base::fail(base::error_code::unavailable, "bind relay",
                      listen_.str(), "no port free for TCP and UDP");
}

void relay::add_routes()
{
    control_.routes().Post(
        "/fake/relay",
        [this](httplib::Request const& request, httplib::Response& response)
        {
            auto const order = read_relay_order(request.body);
            if (!order)
            {
                response.status = 400;
                response.set_content(order.error().str(), "text/plain");
                return;
            }
            apply(order.value());
            response.set_content("{}", "application/json");
        });
}

void relay::apply(relay_order const& order)
{
    std::lock_guard const lock{mutex_};
    switch (order.action_)
    {
    case relay_action::cut:
        cut(order.all_);
        break;
    case relay_action::silence:
        silence(order);
        break;
    case relay_action::delay:
        rule_.delay_ = order.delay_;
        break;
    case relay_action::restore:
        rule_ = {};
        break;
    }
    wake();
}

void relay::cut(bool all)
{
    for (auto& link : connections_)
    {
        reset_on_close(link.near_.socket_.get());
        reset_on_close(link.far_.socket_.get());
    }
    connections_.clear();
    if (all)
    {
        rule_.refuse_ = true;
        rule_.drop_forward_ = true;
        rule_.drop_back_ = true;
    }
}

void relay::silence(relay_order const& order)
{
    auto const forward = order.direction_ != relay_direction::back;
    auto const back = order.direction_ != relay_direction::forward;
    for (auto& link : connections_)
    {
        link.near_.dropped_ |= forward;
        link.far_.dropped_ |= back;
    }
    if (order.all_)
    {
        rule_.drop_forward_ |= forward;
        rule_.drop_back_ |= back;
    }
}

void relay::run()
{
    while (true)
    {
        wait();
        std::lock_guard const lock{mutex_};
        if (stopping_)
        {
            return;
        }
        step();
    }
}

void relay::wait()
{
    std::vector<pollfd> sockets{{tcp_.get(), POLLIN, 0},
                                {udp_.get(), POLLIN, 0},
                                {wake_read_.get(), POLLIN, 0}};
    auto next = base::time_point::max();
    {
        std::lock_guard const lock{mutex_};
        auto const now = clock_.now();
        auto const watch = [&](relay_end const& end)
        {
            auto const readable = end.finished_ ? 0 : POLLIN;
            auto const writable = end.outgoing_.due(now) ? POLLOUT : 0;
            auto const events = static_cast<short>(readable | writable);
            // A negative descriptor is passed over; a hang-up would not be.
            sockets.push_back(
                {events == 0 ? -1 : end.socket_.get(), events, 0});
            if (!end.outgoing_.due(now))
            {
                next = std::min(next, end.outgoing_.next());
            }
        };
        for (auto const& link : connections_)
        {
            watch(link.near_);
            watch(link.far_);
        }
        for (auto const& link : senders_)
        {
            watch(link.far_);
            next = std::min(next, link.near_.outgoing_.next());
        }
    }
    int timeout_ms = -1;
    if (next != base::time_point::max())
    {
        auto const left = std::max(next - clock_.now(), base::duration::zero());
        timeout_ms = static_cast<int>(base::milliseconds(left)) + 1;
    }
    ::poll(sockets.data(), sockets.size(), timeout_ms);
}

void relay::step()
{
    std::array<char, 64> drained{};
    while (::recv(wake_read_.get(), drained.data(), drained.size(),
                  MSG_DONTWAIT) > 0)
    {
    }
    accept_connection();
    receive_datagrams();
    for (auto& link : connections_)
    {
        pump_tcp(link);
    }
    for (auto& link : senders_)
    {
        pump_udp(link);
    }
    std::erase_if(connections_,
                  [](relay_link const& link) { return link.broken_; });
}

void relay::accept_connection()
{
    pollfd waiting{tcp_.get(), POLLIN, 0};
    if (::poll(&waiting, 1, 0) <= 0)
    {
        return;
    }
    peer::socket near{::accept4(tcp_.get(), nullptr, nullptr, SOCK_CLOEXEC)};
    if (!near.is_open())
    {
        return;
    }
    if (rule_.refuse_)
    {
        reset_on_close(near.get());
        return;
    }
    auto far = connect_to(SOCK_STREAM, far_);
    if (!far.is_open())
    {
        reset_on_close(near.get());
        return;
    }
    send_at_once(near.get());
    send_at_once(far.get());
    auto& link = connections_.emplace_back();
    link.near_.socket_ = std::move(near);
    link.far_.socket_ = std::move(far);
    link.near_.dropped_ = rule_.drop_forward_;
    link.far_.dropped_ = rule_.drop_back_;
}

void relay::receive_datagrams()
{
    std::string buffer(buffer_bytes, '\0');
    while (true)
    {
        sockaddr_in sender{};
        socklen_t size = sizeof sender;
        auto const received =
            ::recvfrom(udp_.get(), buffer.data(), buffer.size(), MSG_DONTWAIT,
                       reinterpret_cast<sockaddr*>(&sender), &size);
        if (received < 0)
        {
            return;
        }
        auto* const link = link_of(sender);
        if (link == nullptr || rule_.drop_forward_)
        {
            continue;
        }
        link->far_.outgoing_.add(
            buffer.substr(0, static_cast<std::size_t>(received)),
            clock_.now() + rule_.delay_);
    }
}

relay_link* relay::link_of(sockaddr_in const& sender)
{
    for (auto& link : senders_)
    {
        if (same_sender(link.sender_, sender))
        {
            return &link;
        }
    }
    auto far = connect_to(SOCK_DGRAM, far_);
    if (!far.is_open())
    {
        return nullptr;
    }
    auto& link = senders_.emplace_back();
    link.far_.socket_ = std::move(far);
    link.sender_ = sender;
    return &link;
}

void relay::pump_tcp(relay_link& link)
{
    read_tcp(link.near_, link.far_, link);
    read_tcp(link.far_, link.near_, link);
    auto const now = clock_.now();
    if (!link.near_.outgoing_.send_to(link.near_.socket_.get(), now) ||
        !link.far_.outgoing_.send_to(link.far_.socket_.get(), now))
    {
        link.broken_ = true;
    }
    finish_tcp(link);
}

void relay::read_tcp(relay_end& from, relay_end& to, relay_link& link)
{
    std::string buffer(buffer_bytes, '\0');
    if (from.finished_)
    {
        return;
    }
    auto const received =
        ::recv(from.socket_.get(), buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (received < 0)
    {
        auto const nothing = errno == EAGAIN || errno == EWOULDBLOCK;
        // Silence hides even the end of the other side.
        from.finished_ = !nothing;
        link.broken_ |= !nothing && !from.dropped_;
        return;
    }
    if (received == 0)
    {
        from.finished_ = true;
        return;
    }
    if (!from.dropped_)
    {
        to.outgoing_.add(buffer.substr(0, static_cast<std::size_t>(received)),
                         clock_.now() + rule_.delay_);
    }
}

void relay::finish_tcp(relay_link& link)
{
    auto const closes = [](relay_end const& from, relay_end const& to)
    {
        return from.finished_ && !from.dropped_ && to.outgoing_.empty();
    };
    if (closes(link.near_, link.far_))
    {
        ::shutdown(link.far_.socket_.get(), SHUT_WR);
    }
    if (closes(link.far_, link.near_))
    {
        ::shutdown(link.near_.socket_.get(), SHUT_WR);
    }
    auto const unheard =
        link.near_.outgoing_.empty() && link.far_.outgoing_.empty();
    link.broken_ |= link.near_.finished_ && link.far_.finished_ && unheard;
}

void relay::pump_udp(relay_link& link)
{
    std::string buffer(buffer_bytes, '\0');
    auto const now = clock_.now();
    while (true)
    {
        auto const received = ::recv(link.far_.socket_.get(), buffer.data(),
                                     buffer.size(), MSG_DONTWAIT);
        if (received < 0)
        {
            break;
        }
        if (!rule_.drop_back_)
        {
            link.near_.outgoing_.add(
                buffer.substr(0, static_cast<std::size_t>(received)),
                now + rule_.delay_);
        }
    }
    send_datagrams(link, now);
}

void relay::send_datagrams(relay_link& link, base::time_point now) const
{
    // A datagram that cannot be sent is lost, as on any network.
    while (auto const bytes = link.far_.outgoing_.take(now))
    {
        ::send(link.far_.socket_.get(), bytes->data(), bytes->size(),
               MSG_DONTWAIT | MSG_NOSIGNAL);
    }
    while (auto const bytes = link.near_.outgoing_.take(now))
    {
        ::sendto(udp_.get(), bytes->data(), bytes->size(), MSG_DONTWAIT,
                 reinterpret_cast<sockaddr const*>(&link.sender_),
                 sizeof link.sender_);
    }
}

void relay::wake() const
{
    char const one = 1;
    ::send(wake_write_.get(), &one, 1, MSG_DONTWAIT | MSG_NOSIGNAL);
}

} // namespace tanagerlead::fakes
