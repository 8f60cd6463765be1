#include "src/entry/stream_origin_exchange.hpp"

#include "src/routing/entry_readings.hpp"

#include <algorithm>
#include <iterator>

namespace tanagerlead::entry
{

namespace
{

/// More streams than a daemon begins within the time after which their versions
/// are known.
constexpr std::size_t max_unresolved = 4096;
/// A reading that would tell a version may be lost, or not be possible yet.
constexpr base::duration recheck_interval =
    routing::entry_readings::min_interval;
/// Versions that nobody asks for come with changes of the registry.
constexpr base::duration idle_recheck_interval = std::chrono::seconds{1};
/// Another daemon that knows an origin answers sooner, also if one message is
/// lost.
constexpr base::duration archive_read_delay = std::chrono::milliseconds{120};

/// Time that a stream needs to go on once its version is known: a slot, a
/// connection and its proof, and the first event.
constexpr base::duration time_to_go_on = std::chrono::seconds{1};

} // namespace

stream_origin_exchange::stream_origin_exchange(net::asio::io_context& loop,
                                               peer_exchange& peers,
                                               version_finder version_of,
                                               version_prover prove,
                                               settled_finder settled_at)
    : peers_{peers}, version_of_{std::move(version_of)}, prove_{std::move(
                                                             prove)},
      settled_at_{std::move(settled_at)}, timer_{loop, [this]
                                                 {
                                                     advance();
                                                 }}
{
}

void stream_origin_exchange::on_begun(begun_stream const& stream)
{
    resolve({routing::digest_of_attempt(stream.attempt_),
             stream.start_,
             stream.target_,
             stream.connected_at_,
             net::now(),
             {},
             {}});
    set_timer();
}

void stream_origin_exchange::on_resumed(std::string const& attempt,
                                        base::pool_id const& pool,
                                        routing::version_digest version)
{
    routing::stream_origin const origin{routing::digest_of_attempt(attempt),
                                        version};
    origins_.on_begun(origin, net::now());
    keeper_.on_resumed(pool, origin, net::now());
    set_timer();
}

void stream_origin_exchange::resolve(unresolved_origin origin)
{
    auto const found = version_of_(origin.target_, origin.connected_at_);
    auto const now = net::now();
    auto const may_be_known =
        found.known_from_ && now - origin.connected_at_ <
                                 routing::target_versions::removal_retention;
    if (may_be_known && unresolved_.size() < max_unresolved)
    {
        auto const wanted = is_wanted(origin);
        if (wanted)
        {
            prove_(origin.target_, origin.connected_at_);
        }
        origin.due_ = now + (wanted ? recheck_interval : idle_recheck_interval);
        unresolved_.push_back(std::move(origin));
        return;
    }
    auto const version =
        found.known_from_ ? routing::unknown_version : found.version_;
    origins_.on_begun({origin.attempt_, version}, now);
    keeper_.on_begun(origin.start_, origin.target_.pool_,
                     {origin.attempt_, version}, origin.begun_at_, now);
    answer(origin.attempt_, version);
    if (!origin.askers_.empty())
    {
        peers_.send_stream_message(origin.askers_,
                                   {{{origin.attempt_, version}}, {}});
    }
}

// Other origins are found when the registry is read for other reasons.
bool stream_origin_exchange::is_wanted(unresolved_origin const& origin) const
{
    return !origin.askers_.empty() || pending_.contains(origin.attempt_) ||
           keeper_.archive().keeps(origin.target_.pool_, net::now());
}

void stream_origin_exchange::on_versions_proved()
{
    for (auto& origin : unresolved_)
    {
        origin.due_ = net::now();
    }
    advance();
}

void stream_origin_exchange::note_askers(
    routing::peer_ip from,
    std::vector<routing::attempt_digest> const& questions)
{
    for (auto& origin : unresolved_)
    {
        auto const is_asked = std::find(questions.begin(), questions.end(),
                                        origin.attempt_) != questions.end();
        auto& askers = origin.askers_;
        if (is_asked &&
            std::find(askers.begin(), askers.end(), from) == askers.end())
        {
            askers.push_back(from);
            prove_(origin.target_, origin.connected_at_);
        }
    }
}

void stream_origin_exchange::resolve_due()
{
    auto const now = net::now();
    auto const due = std::stable_partition(
        unresolved_.begin(), unresolved_.end(),
        [now](unresolved_origin const& origin) { return origin.due_ > now; });
    std::vector<unresolved_origin> const resolvable(
        std::make_move_iterator(due),
        std::make_move_iterator(unresolved_.end()));
    unresolved_.erase(due, unresolved_.end());
    for (auto const& origin : resolvable)
    {
        resolve(origin);
    }
}

routing::begin_permission
stream_origin_exchange::may_begin(routing::stream_start const& start,
                                  base::pool_id const& pool)
{
    auto const permission = keeper_.may_begin(start, pool, net::now());
    if (permission != routing::begin_permission::granted)
    {
        advance_archive();
        advance_starts();
        set_timer();
    }
    return permission;
}

bool stream_origin_exchange::has_unresolved(base::pool_id const& pool,
                                            base::time_point until)
{
    auto found = false;
    for (auto const& origin : unresolved_)
    {
        if (origin.begun_at_ <= until && origin.target_.pool_ == pool)
        {
            prove_(origin.target_, origin.connected_at_);
            found = true;
        }
    }
    return found;
}

void stream_origin_exchange::on_written(
    routing::origin_archive::batch_number written, bool is_kept)
{
    if (is_kept)
    {
        keeper_.on_origins_kept(written);
    }
    else
    {
        keeper_.on_origins_lost(written, net::now());
    }
    advance();
}

void stream_origin_exchange::find(resumption const& stream, found_callback done)
{
    auto const digest = routing::digest_of_attempt(stream.attempt_);
    auto const known = origins_.find(digest);
    if (known || stream.attempt_.empty())
    {
        auto const finding =
            finding_of(known, routing::origin_gap::attempt_unnamed);
        count(finding);
        done(finding);
        return;
    }
    auto const now = net::now();
    pending_resumption waiting{stream, now, std::move(done)};
    if (is_denied_here(digest))
    {
        waiting.denied_by_.insert(self_);
    }
    pending_.emplace(digest, std::move(waiting));
    origins_.ask(digest, now);
    read_archive_at_ = std::min(read_archive_at_, now + archive_read_delay);
    read_starts_at_ = std::min(read_starts_at_, now + archive_read_delay);
    advance();
}

void stream_origin_exchange::on_message(routing::peer_ip from,
                                        routing::stream_message const& message)
{
    auto reply = origins_.on_message(message, net::now());
    deny(message, reply);
    if (!reply.empty())
    {
        peers_.send_stream_message({from}, reply);
    }
    if (!message.questions_.empty())
    {
        note_askers(from, message.questions_);
    }
    answer_from(message);
}

bool stream_origin_exchange::is_unresolved(
    routing::attempt_digest attempt) const
{
    return std::any_of(unresolved_.begin(), unresolved_.end(),
                       [attempt](unresolved_origin const& origin)
                       { return origin.attempt_ == attempt; });
}

bool stream_origin_exchange::is_denied_here(
    routing::attempt_digest attempt) const
{
    return !origins_.find(attempt) && !is_unresolved(attempt) &&
           origins_.complete_since() <
               net::now() - routing::stream_starts::retention;
}

void stream_origin_exchange::deny(routing::stream_message const& questions,
                                  routing::stream_message& reply) const
{
    for (auto const attempt : questions.questions_)
    {
        if (is_denied_here(attempt))
        {
            reply.denied_.push_back(attempt);
            reply.denier_ = self_;
        }
    }
}

void stream_origin_exchange::answer_from(routing::stream_message const& message)
{
    if (message.denier_ != routing::unknown_incarnation)
    {
        for (auto const attempt : message.denied_)
        {
            auto const [begin, end] = pending_.equal_range(attempt);
            for (auto it = begin; it != end; ++it)
            {
                it->second.denied_by_.insert(message.denier_);
            }
        }
    }
    for (auto const& origin : message.origins_)
    {
        answer(origin.attempt_, origins_.find(origin.attempt_));
    }
}

void stream_origin_exchange::set_targets(
    std::vector<routing::target_info> const& targets)
{
    keeper_.set_targets(targets, net::now());
    set_timer();
}

void stream_origin_exchange::on_archived(routing::stream_message const& message)
{
    origins_.on_message(message, net::now());
    answer_from(message);
}

// The items were asked for after the stream had begun, so the start of its
// daemon is among them.
void stream_origin_exchange::on_starts_read(kept_stream_starts const& found)
{
    starts_asked_ = found.asked_;
    starts_found_ = 0;
    for (auto const& list : found.lists_)
    {
        starts_found_ += list.starts_.size();
    }
    std::map<routing::attempt_digest, std::optional<routing::version_digest>>
        inferred;
    for (auto& [attempt, waiting] : pending_)
    {
        if (waiting.since_ > found.asked_)
        {
            continue;
        }
        auto const& stream = waiting.stream_;
        auto const result = routing::infer_version(
            found.lists_, {stream.host_, stream.path_, waiting.denied_by_},
            keeper_.archive(), net::now());
        waiting.gap_ = result.gap_;
        // The registry may lack targets until it has settled.
        if (is_settled() &&
            (result.version_ ||
             result.gap_ == routing::origin_gap::version_absent))
        {
            inferred.emplace(attempt, result.version_);
        }
    }
    for (auto const& [attempt, version] : inferred)
    {
        counts_.inferred_ += version ? pending_.count(attempt) : 0;
        answer(attempt, version);
    }
    set_timer();
}

void stream_origin_exchange::on_starts_unusable(base::time_point asked)
{
    for (auto& [attempt, waiting] : pending_)
    {
        if (waiting.since_ <= asked)
        {
            waiting.gap_ = routing::origin_gap::starts_unusable;
        }
    }
}

void stream_origin_exchange::advance_starts()
{
    auto const now = net::now();
    if (auto update = keeper_.take_starts(now))
    {
        archive_callbacks_.write_starts_(std::move(*update));
    }
    if (now < read_starts_at_)
    {
        return;
    }
    read_starts_at_ = base::time_point::max();
    if (pending_.empty())
    {
        return;
    }
    auto const settled_at = settled_at_();
    read_starts_at_ = now + archive_read_delay;
    if (settled_at <= now)
    {
        archive_callbacks_.read_starts_();
    }
    else
    {
        read_starts_at_ = std::min(read_starts_at_, settled_at);
    }
}

void stream_origin_exchange::advance_archive()
{
    auto const now = net::now();
    for (auto& batch : keeper_.take_origins(now))
    {
        counts_.archived_ += batch.origins_.size();
        archive_callbacks_.write_(std::move(batch));
    }
    if (now >= read_archive_at_)
    {
        read_archive_at_ = base::time_point::max();
        if (!pending_.empty())
        {
            archive_callbacks_.read_();
        }
    }
}

void stream_origin_exchange::answer(
    routing::attempt_digest attempt,
    std::optional<routing::version_digest> version)
{
    auto const [begin, end] = pending_.equal_range(attempt);
    std::vector<pending_resumption> answered;
    for (auto it = begin; it != end; ++it)
    {
        answered.push_back(std::move(it->second));
    }
    pending_.erase(begin, end);
    held_.erase(attempt);
    for (auto const& waiting : answered)
    {
        auto const finding = finding_of(version, waiting.gap_);
        count(finding);
        waiting.done_(finding);
    }
}

routing::origin_finding stream_origin_exchange::finding_of(
    std::optional<routing::version_digest> version,
    routing::origin_gap gap) const
{
    using routing::origin_gap;
    auto const now = net::now();
    auto const settled_at = settled_at_();
    routing::origin_finding out;
    out.starts_ = starts_found_;
    if (starts_asked_)
    {
        out.starts_age_ = now - *starts_asked_;
    }
    if (settled_at != base::time_point::max())
    {
        out.registry_settled_for_ = now - settled_at;
    }
    if (version && *version != routing::unknown_version)
    {
        out.version_ = version;
    }
    else if (version)
    {
        out.gap_ = origin_gap::version_unproved;
    }
    else if (gap == origin_gap::attempt_unnamed)
    {
        out.gap_ = gap;
    }
    else if (!out.registry_settled_for_)
    {
        out.gap_ = origin_gap::registry_lost;
    }
    else if (settled_at > now)
    {
        out.gap_ = origin_gap::registry_unsettled;
    }
    else
    {
        // The latest reading would do, but came before the registry settled.
        out.gap_ = gap == origin_gap::none ? origin_gap::starts_unread : gap;
    }
    return out;
}

void stream_origin_exchange::count(routing::origin_finding const& finding)
{
    if (finding.version_)
    {
        ++counts_.found_;
        return;
    }
    ++counts_.unknown_;
    ++counts_.gaps_[finding.gap_];
}

// Nothing is inferred for a while after this daemon has started. A caller that
// can wait for the end of that time is better off than one that is refused.
void stream_origin_exchange::give_up(routing::attempt_digest attempt)
{
    auto const settled_at = settled_at_();
    auto latest = base::time_point::max();
    auto const [begin, end] = pending_.equal_range(attempt);
    for (auto it = begin; it != end; ++it)
    {
        auto const& waiting = it->second;
        latest = std::min(latest, waiting.since_ + waiting.stream_.patience_ -
                                      time_to_go_on);
    }
    if (settled_at >= latest)
    {
        answer(attempt, std::nullopt);
        return;
    }
    held_[attempt] =
        std::min(latest, settled_at + routing::stream_origins::answer_timeout);
}

void stream_origin_exchange::answer_held()
{
    auto const now = net::now();
    std::vector<routing::attempt_digest> due;
    for (auto const& [attempt, until] : held_)
    {
        if (until <= now)
        {
            due.push_back(attempt);
        }
    }
    for (auto const attempt : due)
    {
        answer(attempt, std::nullopt);
    }
}

void stream_origin_exchange::advance()
{
    resolve_due();
    advance_archive();
    advance_starts();
    auto const due = origins_.take_due(net::now());
    for (auto const& message : due.copies_)
    {
        peers_.send_stream_message(routing::stream_origins::holders_of(
                                       peers_.self(), peers_.board().working()),
                                   message);
    }
    for (auto const& message : due.questions_)
    {
        peers_.send_stream_message(peers_.board().known(), message);
    }
    for (auto const attempt : due.given_up_)
    {
        give_up(attempt);
    }
    answer_held();
    set_timer();
}

void stream_origin_exchange::set_timer()
{
    auto next =
        std::min({origins_.next_wakeup(), keeper_.next_wakeup(net::now()),
                  read_archive_at_, read_starts_at_});
    for (auto const& origin : unresolved_)
    {
        next = std::min(next, origin.due_);
    }
    for (auto const& [attempt, until] : held_)
    {
        next = std::min(next, until);
    }
    if (next != base::time_point::max())
    {
        timer_.set(next);
    }
}

} // namespace tanagerlead::entry
