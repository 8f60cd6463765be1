#include "src/entry/control.hpp"

#include "src/base/random.hpp"

#include <boost/outcome/try.hpp>

namespace tanagerlead::entry
{

using namespace std::chrono_literals;

namespace
{

/// Many registrations change at once when targets are replaced; new work stops
/// for a leaving target well within its two seconds.
constexpr base::duration registry_pacing = 700ms;
constexpr std::size_t most_peer_connections = 64;
constexpr base::duration fetch_timeout = 800ms;
char const* const configuration_path = "/configuration";

} // namespace

control::control(net::asio::io_context& loop, metadata_store& store,
                 protocol const& speech, settings const& s,
                 control_outputs outputs)
    : settings_{s}, configuration_{speech, std::move(outputs.configuration_)},
      registry_{loop, speech, std::move(outputs.targets_)},
      configuration_follower_{loop,
                              store,
                              configuration_,
                              {speech.configuration_key(), 0s},
                              base::entropy()},
      registry_follower_{loop,
                         store,
                         registry_,
                         {speech.target_prefix(), registry_pacing},
                         base::entropy()},
      registration_{loop, store, s.daemon_.str(), s.callers_.ip_,
                    std::move(outputs.daemons_)},
      peers_{loop}, listener_{
                        loop, most_peer_connections,
                        [this](auto const& from, net::http_request const& r)
                        {
                            serve_configuration(from, r);
                        }}
{
}

base::result<void> control::start()
{
    BOOST_OUTCOME_TRYV(listener_.listen(settings_.peers_));
    configuration_follower_.start();
    registry_follower_.start();
    registration_.start();
    return base::success();
}

void control::serve_configuration(
    std::shared_ptr<net::caller_connection> const& from,
    net::http_request const& request)
{
    net::http_response answer;
    auto const known = request.target_ == configuration_path &&
                       !configuration_.document().empty();
    answer.status_ = known ? 200 : 404;
    answer.body_ = known ? configuration_.document() : std::string{};
    from->answer(answer);
}

void control::on_newer_configuration(std::string const& ip)
{
    if (fetching_)
    {
        return;
    }
    fetching_ = true;
    configuration_follower_.hurry();
    net::http_request request;
    request.method_ = "GET";
    request.target_ = configuration_path;
    request.headers_.add("Host", ip);
    peers_.call({ip, settings_.peers_.port_}, "fetch configuration",
                std::move(request), {fetch_timeout},
                [this, ip](base::result<net::http_response> answer)
                {
                    fetching_ = false;
                    if (!answer)
                    {
                        log_.write(line_kind::control,
                                   log_line{"Configuration not fetched."}.with(
                                       "reason", answer.error().str()),
                                   net::now());
                        return;
                    }
                    if (answer.value().status_ == 200)
                    {
                        configuration_.on_document(answer.value().body_, ip);
                    }
                });
}

void control::leave(std::function<void()> done)
{
    configuration_follower_.stop();
    registry_follower_.stop();
    registration_.leave(std::move(done));
}

} // namespace tanagerlead::entry
