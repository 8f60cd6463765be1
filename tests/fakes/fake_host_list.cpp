#include "tests/fakes/fake_host_list.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace tanagerlead::fakes
{

namespace
{

using nlohmann::json;

constexpr int server_threads = 16;
constexpr int status_bad_request = 400;
constexpr int status_unavailable = 503;

json encode(external::listed_host const& host)
{
    auto const live = host.state_ == external::host_state::live;
    return {{"targets", {host.address_.str()}},
            {"labels",
             {{"host", host.host_.str()},
              {"data_centre", host.data_centre_.str()},
              {"state", live ? "live" : "leaving"}}}};
}

std::vector<external::listed_host> decode(json const& groups)
{
    std::vector<external::listed_host> hosts;
    for (auto const& group : groups)
    {
        auto const& labels = group.at("labels");
        external::listed_host host;
        host.host_ = base::host_id{labels.at("host").get<std::string>()};
        host.data_centre_ =
            base::data_centre_id{labels.at("data_centre").get<std::string>()};
        host.state_ = labels.at("state") == "leaving"
                          ? external::host_state::leaving
                          : external::host_state::live;
        for (auto const& target : group.at("targets"))
        {
            host.address_ =
                base::parse_address(target.get<std::string>()).value();
            hosts.push_back(host);
        }
    }
    return hosts;
}

} // namespace

fake_host_list::fake_host_list(base::address listen, base::clock const& clock)
    : clock_{clock}, server_{{std::move(listen), server_threads}}
{
    add_routes();
}

base::result<void> fake_host_list::start()
{
    return server_.start();
}

void fake_host_list::stop()
{
    server_.stop();
}

base::address fake_host_list::local_address() const
{
    return server_.local_address();
}

void fake_host_list::set_hosts(std::vector<external::listed_host> hosts)
{
    std::lock_guard const lock{mutex_};
    listings_.push_back({clock_.now() + faults_.lag_, std::move(hosts)});
}

void fake_host_list::set_faults(host_list_faults const& faults)
{
    std::lock_guard const lock{mutex_};
    faults_ = faults;
}

std::vector<external::listed_host> fake_host_list::visible()
{
    std::vector<external::listed_host> hosts;
    for (auto const& each : listings_)
    {
        if (each.shows_from_ <= clock_.now())
        {
            hosts = each.hosts_;
        }
    }
    return hosts;
}

void fake_host_list::add_routes()
{
    server_.routes().Get("/hosts",
                         [this](httplib::Request const&, httplib::Response& out)
                         {
                             std::lock_guard const lock{mutex_};
                             if (faults_.down_)
                             {
                                 out.status = status_unavailable;
                                 return;
                             }
                             json groups = json::array();
                             for (auto const& host : visible())
                             {
                                 groups.push_back(encode(host));
                             }
                             out.set_content(faults_.garbled_ ? "[{"
                                                              : groups.dump(),
                                             "application/json");
                         });
    server_.routes().Post(
        "/fake/hosts",
        [this](httplib::Request const& in, httplib::Response& out)
        {
            try
            {
                auto const body = json::parse(in.body);
                if (body.is_object())
                {
                    host_list_faults faults;
                    faults.lag_ =
                        std::chrono::milliseconds{body.value("lag_ms", 0)};
                    faults.down_ = body.value("down", false);
                    set_faults(faults);
                }
                if (body.is_array() || body.contains("hosts"))
                {
                    set_hosts(
                        decode(body.is_array() ? body : body.at("hosts")));
                }
                out.set_content("{}", "application/json");
            }
            catch (std::exception const& problem)
            {
                out.status = status_bad_request;
                out.set_content(problem.what(), "text/plain");
            }
        });
}

} // namespace tanagerlead::fakes
