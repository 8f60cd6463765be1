#include "src/membership/swim.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace tanagerlead::membership
{

namespace
{

// A rumour is sent this many times the logarithm of the member count.
constexpr double sends_per_log = 3.0;
// Granularity of timers while a probe is under way.
constexpr auto tick_step = std::chrono::milliseconds{100};
// A gap between ticks of this many probe intervals means that this process
// was paused, so that silence of others proves nothing.
constexpr int pause_intervals = 2;

// Of two reports of one incarnation the one of higher rank holds.
int rank(member_state state)
{
    switch (state)
    {
    case member_state::alive:
        return 0;
    case member_state::leaving:
        return 1;
    case member_state::suspect:
        return 2;
    case member_state::dead:
        return 3;
    }
    return 0;
}

bool supersedes(member const& news, member const& known)
{
    if (news.incarnation_ != known.incarnation_)
    {
        return news.incarnation_ > known.incarnation_;
    }
    return rank(news.state_) > rank(known.state_);
}

base::incarnation after(base::incarnation life)
{
    return base::incarnation{static_cast<std::uint64_t>(life) + 1};
}

} // namespace

swim::swim(member self, swim_settings settings, std::uint64_t seed)
    : self_{std::move(self)}, settings_{settings}, random_{seed},
      rejoins_left_{settings.rejoins_}
{
    tell_self();
}

void swim::set_seeds(std::vector<base::address> seeds)
{
    seeds_ = std::move(seeds);
    std::erase(seeds_, self_.peer_address_);
}

void swim::set_config_version(base::config_version version)
{
    if (version <= self_.config_version_)
    {
        return;
    }
    self_.config_version_ = version;
    changed_ = true;
    send_at_once();
}

void swim::leave()
{
    self_.state_ = member_state::leaving;
    self_.incarnation_ = after(self_.incarnation_);
    tell_self();
    changed_ = true;
    survey();
}

void swim::survey()
{
    for (auto const& [daemon, known] : records_)
    {
        if (known.member_.state_ != member_state::dead)
        {
            send(known.member_.peer_address_,
                 make(swim_kind::ping, next_sequence_++));
        }
    }
}

void swim::receive(base::address const& from, swim_message const& message,
                   base::time_point now)
{
    if (message.sender_.daemon_ == self_.daemon_ &&
        message.sender_.origin_ == self_.origin_)
    {
        return;
    }
    learn_from_sender(message, now);
    for (auto const& news : message.updates_)
    {
        // Parts of the list are old news to others.
        auto const unheard_of = records_.count(news.daemon_) == 0;
        learn(news, now);
        if (message.kind_ == swim_kind::state && unheard_of)
        {
            rumours_.drop(news.daemon_);
        }
    }
    struct handler
    {
        swim_kind kind_;
        void (swim::*handle_)(base::address const&, swim_message const&);
    };
    static constexpr handler handlers[] = {
        {swim_kind::ping, &swim::handle_ping},
        {swim_kind::ack, &swim::handle_ack},
        {swim_kind::ping_request, &swim::handle_ping_request},
        {swim_kind::join, &swim::handle_join},
    };
    for (auto const& candidate : handlers)
    {
        if (candidate.kind_ == message.kind_)
        {
            (this->*candidate.handle_)(from, message);
        }
    }
}

void swim::handle_ping(base::address const& from, swim_message const& message)
{
    send(from, make(swim_kind::ack, message.sequence_));
    repair(from, message.digest_);
}

void swim::handle_ack(base::address const& from, swim_message const& message)
{
    repair(from, message.digest_);
    if (probe_ && probe_->sequence_ == message.sequence_)
    {
        probe_.reset();
        return;
    }
    auto const relayed = relayed_.find(message.sequence_);
    if (relayed == relayed_.end())
    {
        return;
    }
    // The asker takes the subject's own word, so pass its descriptor on.
    auto answer = make(swim_kind::ack, relayed->second.asker_sequence_);
    answer.updates_.assign(1, message.sender_);
    send(relayed->second.asker_, std::move(answer));
    relayed_.erase(relayed);
}

void swim::handle_ping_request(base::address const& from,
                               swim_message const& message)
{
    auto const sequence = next_sequence_++;
    relayed_[sequence] = {from, message.sequence_,
                          last_tick_ + settings_.probe_interval_};
    send(message.subject_, make(swim_kind::ping, sequence));
}

void swim::handle_join(base::address const& from,
                       swim_message const& /*message*/)
{
    send_list(from);
}

void swim::learn_from_sender(swim_message const& message, base::time_point now)
{
    auto const& sender = message.sender_;
    learn(sender, now);
    auto const found = records_.find(sender.daemon_);
    if (found == records_.end())
    {
        return;
    }
    auto& known = found->second.member_;
    if (known.incarnation_ == sender.incarnation_ &&
        sender.config_version_ > known.config_version_)
    {
        known.config_version_ = sender.config_version_;
        changed_ = true;
    }
    // A sender that others take for dead or suspect is told, to refute it.
    if (rank(known.state_) >= rank(member_state::suspect))
    {
        tell(known);
    }
}

void swim::learn(member const& news, base::time_point now)
{
    if (news.daemon_ == self_.daemon_)
    {
        learn_of_self(news);
        return;
    }
    auto const found = records_.find(news.daemon_);
    if (found == records_.end())
    {
        if (news.state_ != member_state::dead)
        {
            adopt(news, now);
        }
        return;
    }
    auto& known = found->second;
    if (supersedes(news, known.member_))
    {
        auto const version = known.member_.config_version_;
        known.member_ = news;
        known.member_.config_version_ = std::max(version, news.config_version_);
        set_state(known, news.state_, now);
    }
}

void swim::learn_of_self(member const& news)
{
    auto const other_life = news.origin_ != self_.origin_;
    auto const wrong_state = rank(news.state_) > rank(self_.state_);
    auto const outbid = news.incarnation_ > self_.incarnation_ ||
                        (news.incarnation_ == self_.incarnation_ &&
                         (other_life || wrong_state));
    if (outbid)
    {
        self_.incarnation_ = after(news.incarnation_);
        changed_ = true;
        tell_self();
        send_at_once();
    }
}

void swim::adopt(member const& news, base::time_point now)
{
    auto& added = records_[news.daemon_];
    added.member_ = news;
    set_state(added, news.state_, now);
    // A random place, so that members are not probed by all at once.
    auto const place = random_.below(probe_order_.size() + 1);
    probe_order_.insert(probe_order_.begin() + static_cast<long>(place),
                        news.daemon_);
}

void swim::set_state(record& known, member_state state, base::time_point now)
{
    known.member_.state_ = state;
    if (state == member_state::suspect)
    {
        known.expires_ = now + settings_.suspicion_timeout_;
        known.next_ping_ = now;
    }
    else if (state == member_state::dead)
    {
        known.expires_ = now + settings_.memory_of_dead_;
    }
    changed_ = true;
    tell(known.member_);
}

void swim::tell(member const& news)
{
    rumours_.add(news);
}

void swim::tell_self()
{
    tell(self_);
}

void swim::tick(base::time_point now)
{
    absorb_pause(now);
    last_tick_ = now;
    advance_probe(now);
    if (now >= next_probe_ && !probe_)
    {
        start_probe(now);
    }
    expire(now);
    rejoin(now);
    if (now >= next_reconnect_)
    {
        reconnect(now);
    }
    next_tick_ = now + tick_step;
}

void swim::absorb_pause(base::time_point now)
{
    if (!ticked_)
    {
        ticked_ = true;
        next_rejoin_ = now + settings_.rejoin_interval_;
        return;
    }
    auto const gap = now - last_tick_;
    if (gap < pause_intervals * settings_.probe_interval_)
    {
        return;
    }
    probe_.reset();
    for (auto& [daemon, known] : records_)
    {
        known.expires_ += gap;
    }
}

void swim::advance_probe(base::time_point now)
{
    if (!probe_)
    {
        return;
    }
    auto const subject = records_.find(probe_->subject_);
    if (subject == records_.end())
    {
        probe_.reset();
        return;
    }
    if (now >= probe_->fails_at_)
    {
        auto& known = subject->second;
        if (rank(known.member_.state_) < rank(member_state::suspect))
        {
            set_state(known, member_state::suspect, now);
        }
        probe_.reset();
        return;
    }
    if (now >= probe_->indirect_at_ && !probe_->asked_others_)
    {
        probe_->asked_others_ = true;
        for (auto const& helper : random_members(settings_.indirect_probes_))
        {
            auto request = make(swim_kind::ping_request, probe_->sequence_);
            request.subject_ = subject->second.member_.peer_address_;
            send(helper, std::move(request));
        }
    }
}

void swim::start_probe(base::time_point now)
{
    next_probe_ = now + settings_.probe_interval_;
    repairs_left_ = settings_.repair_budget_;
    for (std::size_t tried = 0; tried < probe_order_.size(); ++tried)
    {
        std::rotate(probe_order_.begin(), probe_order_.begin() + 1,
                    probe_order_.end());
        auto const& known = records_.at(probe_order_.back()).member_;
        if (known.state_ == member_state::dead)
        {
            continue;
        }
        probe_ = probe{known.daemon_, next_sequence_++,
                       now + settings_.direct_timeout_,
                       now + settings_.probe_interval_, false};
        send(known.peer_address_, make(swim_kind::ping, probe_->sequence_));
        return;
    }
}

void swim::expire(base::time_point now)
{
    absl::erase_if(relayed_, [now](auto const& entry)
                   { return now >= entry.second.expires_; });
    std::vector<base::daemon_id> forgotten;
    for (auto& [daemon, known] : records_)
    {
        if (known.member_.state_ == member_state::suspect)
        {
            ping_suspect(known, now);
        }
        else if (known.member_.state_ == member_state::dead &&
                 now >= known.expires_)
        {
            forgotten.push_back(daemon);
        }
    }
    for (auto const& daemon : forgotten)
    {
        records_.erase(daemon);
        std::erase(probe_order_, daemon);
        changed_ = true;
    }
}

void swim::ping_suspect(record& suspect, base::time_point now)
{
    if (now >= suspect.expires_)
    {
        set_state(suspect, member_state::dead, now);
        return;
    }
    if (now < suspect.next_ping_)
    {
        return;
    }
    suspect.next_ping_ = now + settings_.suspect_interval_;
    auto ping = make(swim_kind::ping, next_sequence_++);
    ping.updates_.assign(1, suspect.member_);
    send(suspect.member_.peer_address_, std::move(ping));
}

void swim::rejoin(base::time_point now)
{
    if (rejoins_left_ == 0 || now < next_rejoin_)
    {
        return;
    }
    --rejoins_left_;
    next_rejoin_ = now + settings_.rejoin_interval_;
    for (auto const& to : random_members(1))
    {
        send(to, make(swim_kind::join, next_sequence_++));
    }
}

void swim::reconnect(base::time_point now)
{
    next_reconnect_ = now + settings_.reconnect_interval_;
    std::vector<base::address> candidates;
    bool alone = true;
    for (auto const& [daemon, known] : records_)
    {
        if (known.member_.state_ == member_state::dead)
        {
            candidates.push_back(known.member_.peer_address_);
        }
        else
        {
            alone = false;
        }
    }
    for (auto const& seed : seeds_)
    {
        auto const at_seed = [&](auto const& entry)
        {
            return entry.second.member_.peer_address_ == seed &&
                   entry.second.member_.state_ != member_state::dead;
        };
        if (std::none_of(records_.begin(), records_.end(), at_seed))
        {
            candidates.push_back(seed);
        }
    }
    if (candidates.empty())
    {
        return;
    }
    if (alone)
    {
        // Nothing to lose: try all ways back at once, and soon again.
        next_reconnect_ = now + settings_.probe_interval_;
        for (auto const& to : candidates)
        {
            send(to, make(swim_kind::join, next_sequence_++));
        }
        return;
    }
    auto const pick = random_.below(candidates.size());
    send(candidates[pick], make(swim_kind::ping, next_sequence_++));
}

swim_message swim::make(swim_kind kind, std::uint64_t sequence)
{
    swim_message message;
    message.kind_ = kind;
    message.sequence_ = sequence;
    return message;
}

void swim::send(base::address const& to, swim_message message)
{
    message.sender_ = self_;
    message.digest_ = digest();
    if (message.updates_.empty())
    {
        message.updates_ =
            rumours_.pick(swim_message::most_updates, most_sends());
    }
    outgoing_.push_back({to, std::move(message)});
}

void swim::send_at_once()
{
    for (auto const& to : random_members(settings_.fanout_))
    {
        send(to, make(swim_kind::ping, next_sequence_++));
    }
}

void swim::repair(base::address const& to, list_digest const& theirs)
{
    auto const ours = digest();
    if (theirs == ours || repairs_left_ == 0)
    {
        return;
    }
    --repairs_left_;
    auto message = make(swim_kind::state, 0);
    auto const all = members().members_;
    // When most of the list differs, each part of it gets its turn.
    auto const start = random_.below(all.size());
    for (std::size_t i = 0; i < all.size(); ++i)
    {
        auto const& known = all[(start + i) % all.size()];
        auto const bucket = digest_bucket(known.daemon_);
        if (theirs.at(bucket) != ours.at(bucket) &&
            message.updates_.size() < swim_message::most_updates)
        {
            message.updates_.push_back(known);
        }
    }
    if (!message.updates_.empty())
    {
        send(to, std::move(message));
    }
}

void swim::send_list(base::address const& to)
{
    auto const all = members().members_;
    for (std::size_t i = 0; i < all.size(); i += swim_message::most_updates)
    {
        auto message = make(swim_kind::state, 0);
        auto const end = std::min(all.size(), i + swim_message::most_updates);
        message.updates_.assign(all.begin() + static_cast<long>(i),
                                all.begin() + static_cast<long>(end));
        send(to, std::move(message));
    }
}

std::vector<base::address> swim::random_members(std::size_t count)
{
    std::vector<base::address> chosen;
    for (auto const& [daemon, known] : records_)
    {
        if (known.member_.state_ != member_state::dead)
        {
            chosen.push_back(known.member_.peer_address_);
        }
    }
    // The table's own order differs from run to run.
    std::sort(chosen.begin(), chosen.end());
    for (std::size_t i = 0; i < std::min(count, chosen.size()); ++i)
    {
        std::swap(chosen[i], chosen[i + random_.below(chosen.size() - i)]);
    }
    chosen.resize(std::min(count, chosen.size()));
    return chosen;
}

list_digest swim::digest() const
{
    list_digest sum{};
    add_to_digest(sum, self_);
    for (auto const& [daemon, known] : records_)
    {
        // The dead are forgotten at different times.
        if (known.member_.state_ != member_state::dead)
        {
            add_to_digest(sum, known.member_);
        }
    }
    return sum;
}

int swim::most_sends() const
{
    auto const members = static_cast<double>(records_.size() + 2);
    return static_cast<int>(std::ceil(sends_per_log * std::log2(members)));
}

std::vector<outgoing_message> swim::take_outgoing()
{
    return std::exchange(outgoing_, {});
}

bool swim::take_changed()
{
    return std::exchange(changed_, false);
}

member_list swim::members() const
{
    member_list list;
    list.members_.reserve(records_.size() + 1);
    list.members_.push_back(self_);
    for (auto const& [daemon, known] : records_)
    {
        list.members_.push_back(known.member_);
    }
    auto const by_daemon = [](member const& a, member const& b)
    {
        return a.daemon_ < b.daemon_;
    };
    std::sort(list.members_.begin(), list.members_.end(), by_daemon);
    return list;
}

} // namespace tanagerlead::membership
