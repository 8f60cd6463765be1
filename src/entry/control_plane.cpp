#include "src/entry/control_plane.hpp"

#include "src/base/random.hpp"

#include <boost/outcome/try.hpp>

namespace tanagerlead::entry
{

using namespace std::chrono_literals;

namespace
{

/// Batches registry changes, since many entries change at once when targets are
/// replaced. Short enough that a draining target gets no new requests well
/// within its two seconds.
constexpr base::duration min_registry_interval = 700ms;
constexpr std::size_t max_peer_connections = 64;
constexpr base::duration fetch_timeout = 800ms;
/// A slow link still carries a configuration this fast; a stalled fetch ends.
constexpr net::progress_limits least_fetch_progress{1s, 8192};
/// Fetches that a daemon answers at a time. More would share its link so that
/// none ends soon; the others ask a daemon that has the version by then.
constexpr std::size_t max_served_fetches = 4;
char const* const configuration_path = "/configuration";

} // namespace

control_plane::control_plane(net::asio::io_context& loop, metadata_store& store,
                             protocol const& wire, settings const& s,
                             control_plane_outputs outputs)
    : settings_{s}, store_{store}, protocol_{wire}, entry_read_{std::move(
                                                        outputs.entry_read_)},
      configuration_{wire,
                     [this, report = std::move(outputs.configuration_)](
                         routing::configuration_ptr const& fresh)
                     {
                         if (fresh->has_resumable_streams())
                         {
                             starts_.prepare();
                         }
                         report(fresh);
                     }},
      registry_{loop, wire, std::move(outputs.targets_)},
      configuration_watcher_{loop,
                             store,
                             configuration_,
                             {wire.configuration_key(), 0s,
                              [this]
                              {
                                  registry_watcher_.on_store_reached();
                              }},
                             base::entropy()},
      registry_watcher_{loop,
                        store,
                        registry_,
                        {wire.target_prefix(), min_registry_interval,
                         [this] { configuration_watcher_.on_store_reached(); },
                         [this, report = std::move(outputs.registry_changed_)](
                             store_revision newest) {
                             report({era_.current(), newest});
                         },
                         std::move(outputs.registry_confirmed_)},
                        base::entropy()},
      registration_{loop, store, s.daemon_.str(), s.callers_.ip_,
                    std::move(outputs.daemons_)},
      origins_{store, s.daemon_.str(), base::entropy(),
               std::move(outputs.origins_)},
      starts_{loop,
              store,
              era_,
              s.daemon_.str(),
              base::entropy(),
              std::move(outputs.starts_)},
      report_restoration_{std::move(outputs.store_restored_)},
      era_{[this](store_era fresh)
           {
               on_new_era(fresh);
           }},
      peers_{loop}, listener_{
                        loop, max_peer_connections,
                        [this](auto const& from, net::http_request const& r)
                        {
                            serve_configuration(from, r);
                        }}
{
    registry_.set_state_callback(std::move(outputs.registry_state_));
    registry_.set_listing_callback([this] { registry_watcher_.list_now(); });
    store.set_era_observer([this](store_era era) { return era_.observe(era); });
}

// Revisions and leases of the previous era mean nothing in this one. The
// configuration in force stays, since its versions do not depend on the store's
// revisions.
void control_plane::on_new_era(store_era fresh)
{
    log_.write(log_category::control_plane,
               log_line{"Store was restored from an older copy."}.with(
                   "era", static_cast<std::int64_t>(fresh)),
               net::now());
    registry_.on_new_era();
    configuration_watcher_.restart();
    registry_watcher_.restart();
    calls_.give_up_calls();
    registration_.on_new_era();
    origins_.on_new_era();
    starts_.on_new_era();
    report_restoration_();
}

base::result<void> control_plane::start()
{
    BOOST_OUTCOME_TRYV(listener_.listen(settings_.peers_));
    configuration_watcher_.start();
    registry_watcher_.start();
    registration_.start();
    return base::success();
}

void control_plane::serve_configuration(
    std::shared_ptr<net::caller_connection> const& from,
    net::http_request const& request)
{
    std::erase_if(served_,
                  [](std::weak_ptr<net::caller_connection> const& fetch)
                  {
                      auto const open = fetch.lock();
                      return !open || !open->has_unsent();
                  });
    net::http_response answer;
    if (served_.size() >= max_served_fetches)
    {
        answer.status_ = 503;
        from->answer(answer);
        return;
    }
    auto const known = request.target_ == configuration_path &&
                       !configuration_.document().empty();
    answer.status_ = known ? 200 : 404;
    answer.body_ = known ? configuration_.document() : std::string{};
    from->answer(answer);
    served_.push_back(from);
}

void control_plane::on_newer_configuration(std::string const& ip)
{
    if (is_fetching_)
    {
        return;
    }
    is_fetching_ = true;
    configuration_watcher_.retry_now();
    net::http_request request;
    request.method_ = "GET";
    request.target_ = configuration_path;
    request.headers_.add("Host", ip);
    net::call_limits limits{fetch_timeout};
    limits.progress_ = least_fetch_progress;
    peers_.call(
        {ip, settings_.peers_.port_}, "fetch configuration", std::move(request),
        limits,
        [this, ip](base::result<net::http_response> answer)
        {
            is_fetching_ = false;
            if (!answer)
            {
                log_.write(
                    log_category::control_plane,
                    log_line{"Cannot fetch the configuration from a peer."}
                        .with("reason", answer.error().str()),
                    net::now());
                return;
            }
            if (answer.value().status_ == 200)
            {
                configuration_.on_document(answer.value().body_, ip);
            }
        });
}

void control_plane::read_entry(base::target_id const& target)
{
    store_.read(protocol_.target_prefix() + target.str(),
                calls_.wrap([this, target, asked = net::now()](
                                base::result<store_item> const& item)
                            { on_entry(target, asked, item); }));
}

// A failed reading proves nothing, and neither does an entry that cannot be
// read.
void control_plane::on_entry(base::target_id const& target,
                             base::time_point asked,
                             base::result<store_item> const& item)
{
    if (!item)
    {
        if (item.error().code_ == base::error_code::not_found)
        {
            entry_read_(target, std::nullopt, asked);
        }
        return;
    }
    auto entry = protocol_.read_target(item.value().key_, item.value().value_);
    if (entry)
    {
        entry_read_(target, std::move(entry).value(), asked);
    }
}

// Revisions of different eras cannot be compared.
void control_plane::on_registry_change(routing::registry_change change)
{
    if (change.era_ == era_.current())
    {
        registry_watcher_.on_peer_revision(change.revision_);
    }
}

void control_plane::on_position(routing::follower_position position)
{
    configuration_watcher_.set_position(position);
    registry_watcher_.set_position(position);
}

void control_plane::shut_down(std::function<void()> done)
{
    configuration_watcher_.stop();
    registry_watcher_.stop();
    registration_.shut_down(std::move(done));
}

} // namespace tanagerlead::entry
