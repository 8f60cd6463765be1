#include "src/cell/coordinator.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace tanagerlead::cell
{

namespace
{
/// Retry advice when there is no backlog to compute it from.
constexpr base::duration retry_elsewhere = std::chrono::seconds{1};
/// Requests that a cell may have waiting beyond the least busy one before new
/// ones spill over. By tier, so that a higher tier finds the cells where only
/// lower ones wait.
constexpr std::size_t spill_margin = 8;

bool is_gone(membership::member const& m)
{
    return m.state_ == membership::member_state::dead;
}

bool has_target(cell_layout const& layout, base::target_id const& target)
{
    return std::any_of(layout.targets_.begin(), layout.targets_.end(),
                       [&](auto const& one) { return one.id_ == target; });
}

/// What should go to the same cell: a long thread by its first blocks, else
/// all of the workspace's.
std::string affinity_key(sched::work_item const& item)
{
    auto key = item.workspace_.str();
    if (!item.prefix_.empty())
    {
        key += std::to_string(item.prefix_.front());
    }
    return key;
}
} // namespace

coordinator::coordinator(coordinator_settings settings)
    : settings_{std::move(settings)},
      config_{std::make_shared<config::configuration>()},
      members_{std::make_shared<membership::member_list>()},
      isolation_{settings_.self_.daemon_}, leaving_{settings_.has_host_list_}
{
}

void coordinator::on_config(config::snapshot const& snapshot,
                            base::time_point now)
{
    config_ = snapshot;
    rebuild(now);
    for (auto& [id, owner] : owned_)
    {
        configure(id, owner);
    }
}

void coordinator::on_members(membership::view const& view, base::time_point now)
{
    members_ = view;
    isolation_.on_members(*view, now);
    rebuild(now);
}

void coordinator::on_message(daemon_life const& from, message const& received,
                             base::time_point now)
{
    // Whoever is not a member has no say, nor has an earlier life of one.
    if (lives_.contains(from.origin_))
    {
        handle(from, received, now, pending_);
    }
}

void coordinator::observe(sched::target_load const& load, base::time_point now)
{
    for (auto& [id, owner] : owned_)
    {
        if (has_target(*map_.find(id), load.target_))
        {
            owner.observe(load, now);
        }
    }
}

void coordinator::on_leaving_targets(std::set<base::target_id> targets,
                                     base::time_point now)
{
    leaving_.set(std::move(targets), now);
    for (auto& [id, owner] : owned_)
    {
        tell_leaving(id, owner, now);
        owner.hold_until(now);
    }
    for (auto& [id, entry] : entries_)
    {
        entry.on_leaving_targets(now);
    }
}

void coordinator::set_store_reachable(bool reachable, base::time_point now)
{
    isolation_.set_store_reachable(reachable, now);
}

void coordinator::submit(sched::work_item const& item, base::time_point now)
{
    if (cell_of_.contains(item.request_))
    {
        return;
    }
    auto& trace = traces_.at(item.request_);
    trace.workspace_ = item.workspace_;
    trace.pool_ = item.pool_;
    trace.tier_ = item.tier_;
    trace.submitted_ = now;
    if (!refuses_work(item.request_, now))
    {
        place(item, false, now);
    }
}

void coordinator::resubmit(sched::work_item const& item, base::time_point now)
{
    ++traces_.at(item.request_).tries_;
    place(item, true, now);
}

void coordinator::withdraw(base::request_id request, base::time_point now)
{
    std::erase_if(pending_.decisions_, [&](auto const& decided)
                  { return decided.request_ == request; });
    auto const found = cell_of_.find(request);
    if (found != cell_of_.end())
    {
        entries_.at(found->second).withdraw(request, now);
        cell_of_.erase(found);
    }
}

void coordinator::report(sched::dispatch_report const& event,
                         base::time_point now)
{
    auto const found = cell_of_.find(event.request_);
    if (found == cell_of_.end())
    {
        return;
    }
    traces_.at(event.request_).last_event_ = event.event_;
    entries_.at(found->second).report(event, now);
}

void coordinator::advance(base::time_point now, coordinator_output& out)
{
    // Messages to the own daemon cause further ones; each round handles all.
    do
    {
        auto const arrived = std::exchange(local_, {});
        for (auto const& one : arrived)
        {
            handle(settings_.self_, one, now, pending_);
        }
        if (suspicions_.next_due() <= now)
        {
            exchange_suspicions(now);
        }
        for (auto& [id, entry] : entries_)
        {
            entry.advance(now, pending_);
        }
        for (auto& [id, owner] : owned_)
        {
            owner.advance(now, pending_.messages_);
        }
        for (auto const& decided : pending_.decisions_)
        {
            record_decision(decided, now);
        }
        route(pending_, out);
    } while (!local_.empty());
    forget_empty_entries();
}

base::time_point coordinator::next_wakeup() const
{
    auto next = suspicions_.next_due();
    for (auto const& [id, entry] : entries_)
    {
        next = std::min(next, entry.next_wakeup());
    }
    for (auto const& [id, owner] : owned_)
    {
        next = std::min(next, owner.next_wakeup());
    }
    return next;
}

std::vector<config::target_config> coordinator::owned_targets() const
{
    std::vector<config::target_config> targets;
    for (auto const& [id, owner] : owned_)
    {
        auto const& own = map_.find(id)->targets_;
        targets.insert(targets.end(), own.begin(), own.end());
    }
    return targets;
}

std::vector<cell_status> coordinator::status() const
{
    std::vector<cell_status> all;
    for (auto const& [id, layout] : map_.cells())
    {
        cell_status one;
        one.cell_ = id;
        one.owner_ = map_.owner(id).daemon_;
        one.targets_ = layout.targets_;
        auto const entry = entries_.find(id);
        one.works_from_share_ =
            entry != entries_.end() && entry->second.works_from_share();
        auto const owned = owned_.find(id);
        if (owned != owned_.end())
        {
            one.counts_ = owned->second.counts();
        }
        all.push_back(std::move(one));
    }
    return all;
}

request_trace const* coordinator::explain(base::request_id request) const
{
    return traces_.find(request);
}

bool coordinator::chooses_targets() const
{
    return !owned_.empty() ||
           std::any_of(entries_.begin(), entries_.end(),
                       [](auto const& one)
                       { return one.second.works_from_share(); });
}

bool coordinator::is_isolated(base::time_point now) const
{
    return isolation_.is_isolated(now);
}

void coordinator::rebuild(base::time_point now)
{
    map_ = cell_map{*config_, *members_};
    take_and_drop_cells(now);
    configure_entries(now);
    lives_.clear();
    std::vector<base::daemon_id> peers;
    for (auto const& m : members_->members_)
    {
        if (!is_gone(m))
        {
            lives_.insert(m.origin_);
            if (m.daemon_ != settings_.self_.daemon_)
            {
                peers.push_back(m.daemon_);
            }
        }
    }
    suspicions_.set_peers(std::move(peers));
    for (auto& [id, owner] : owned_)
    {
        owner.keep_lives(lives_, now);
    }
}

void coordinator::take_and_drop_cells(base::time_point now)
{
    std::erase_if(owned_, [&](auto const& one)
                  { return map_.owner(one.first) != settings_.self_; });
    for (auto const& [id, layout] : map_.cells())
    {
        if (map_.owner(id) != settings_.self_)
        {
            continue;
        }
        auto found = owned_.find(id);
        if (found == owned_.end())
        {
            cell_owner fresh{id, cell_epoch{++last_epoch_},
                             settings_.make_scheduler_(), now};
            found = owned_.emplace(id, std::move(fresh)).first;
            configure(id, found->second);
            found->second.scheduler().import_suspicions(suspicions_.known(now),
                                                        now);
            found->second.hold_until(leaving_.usable_from(now));
        }
        tell_leaving(id, found->second, now);
    }
}

void coordinator::configure(base::cell_id const& cell, cell_owner& owner) const
{
    constexpr double whole = 1.0;
    owner.configure(settings_for(*map_.find(cell), *config_, whole));
}

void coordinator::tell_leaving(base::cell_id const& cell, cell_owner& owner,
                               base::time_point now) const
{
    for (auto const& target : map_.find(cell)->targets_)
    {
        owner.set_leaving(target.id_, leaving_.contains(target.id_), now);
    }
}

void coordinator::configure_entries(base::time_point now)
{
    std::vector<base::cell_id> vanished;
    for (auto& [id, entry] : entries_)
    {
        entry.set_owner(map_.owner(id), now);
        auto const* layout = map_.find(id);
        if (layout == nullptr)
        {
            vanished.push_back(id);
            continue;
        }
        entry.configure(*layout, config_, standing_share());
    }
    for (auto const& id : vanished)
    {
        place_again(id, now);
    }
}

void coordinator::place_again(base::cell_id const& vanished,
                              base::time_point now)
{
    for (auto const& item : entries_.at(vanished).take_waiting(now))
    {
        cell_of_.erase(item.request_);
        place(item, false, now);
    }
}

double coordinator::standing_share() const
{
    auto const alive =
        std::count_if(members_->members_.begin(), members_->members_.end(),
                      [](auto const& m) { return !is_gone(m); });
    return 1.0 / static_cast<double>(std::max<std::ptrdiff_t>(1, alive));
}

base::cell_id coordinator::choose_cell(sched::work_item const& item,
                                       base::time_point now) const
{
    auto const key = affinity_key(item);
    base::cell_id best;
    std::uint64_t best_weight = 0;
    auto least = std::numeric_limits<std::size_t>::max();
    auto const cells = map_.serving(item.pool_, settings_.data_centre_);
    for (auto const& cell : cells)
    {
        least = std::min(least, waiting_ahead(cell, item.tier_, now));
    }
    for (auto const& cell : cells)
    {
        auto const weight = rendezvous_weight(key, cell.str());
        auto const near_least =
            waiting_ahead(cell, item.tier_, now) <= least + spill_margin;
        if (near_least && (best.empty() || weight > best_weight))
        {
            best = cell;
            best_weight = weight;
        }
    }
    return best;
}

std::size_t coordinator::waiting_ahead(base::cell_id const& cell,
                                       base::tier tier,
                                       base::time_point now) const
{
    auto const found = entries_.find(cell);
    return found == entries_.end() ? 0 : found->second.waiting_ahead(tier, now);
}

cell_entry& coordinator::entry_for(base::cell_id const& cell,
                                   base::time_point now)
{
    auto found = entries_.find(cell);
    if (found == entries_.end())
    {
        cell_entry fresh{cell, settings_.self_, settings_.make_scheduler_,
                         leaving_, revisions_};
        fresh.configure(*map_.find(cell), config_, standing_share());
        fresh.set_owner(map_.owner(cell), now);
        found = entries_.emplace(cell, std::move(fresh)).first;
    }
    return found->second;
}

void coordinator::place(sched::work_item const& item, bool again,
                        base::time_point now)
{
    auto const cell = choose_cell(item, now);
    if (cell.empty())
    {
        refuse(item.request_, sched::refusal_cause::no_target);
        return;
    }
    auto& entry = entry_for(cell, now);
    auto& trace = traces_.at(item.request_);
    trace.cell_ = cell;
    trace.owner_ = map_.owner(cell).daemon_;
    trace.waiting_ahead_ = entry.waiting_ahead(item.tier_, now);
    cell_of_[item.request_] = cell;
    if (again)
    {
        entry.resubmit(item, now);
    }
    else
    {
        entry.submit(item, now);
    }
}

void coordinator::refuse(base::request_id request, sched::refusal_cause cause)
{
    request::refuse const order{cause, retry_elsewhere};
    pending_.decisions_.push_back({request, order, settings_.self_});
}

bool coordinator::refuses_work(base::request_id request, base::time_point now)
{
    if (is_leaving_)
    {
        refuse(request, sched::refusal_cause::draining);
        return true;
    }
    if (isolation_.is_isolated(now))
    {
        refuse(request, sched::refusal_cause::isolated);
        return true;
    }
    return false;
}

void coordinator::handle(daemon_life const& from, message const& received,
                         base::time_point now, entry_output& out)
{
    std::visit([&](auto const& m) { handle(from, m, now, out); }, received);
}

void coordinator::handle(daemon_life const& from, request_update const& m,
                         base::time_point now, entry_output& out)
{
    auto* owner = owner_of(m.cell_);
    // A daemon speaks for its own life's requests only.
    if (owner != nullptr && m.request_.origin_ == from.origin_)
    {
        owner->on_update(from, m, now, out.messages_);
        suspicions_.on_reports(m.reports_);
    }
}

void coordinator::handle(daemon_life const& from,
                         update_acknowledgement const& m, base::time_point now,
                         entry_output& /*out*/)
{
    auto* entry = entry_of(m.cell_);
    if (entry != nullptr)
    {
        entry->on_acknowledgement(from, m, now);
    }
}

void coordinator::handle(daemon_life const& from, decision_message const& m,
                         base::time_point now, entry_output& out)
{
    auto* entry = entry_of(m.cell_);
    if (entry != nullptr)
    {
        entry->on_decision(from, m, now, out);
        return;
    }
    decision_answer answer{m.cell_, m.request_, m.number_, false};
    out.messages_.push_back({from.daemon_, std::move(answer)});
}

void coordinator::handle(daemon_life const& from, decision_answer const& m,
                         base::time_point now, entry_output& /*out*/)
{
    auto* owner = owner_of(m.cell_);
    if (owner != nullptr)
    {
        owner->on_answer(from, m, now);
    }
}

void coordinator::handle(daemon_life const& from, cell_heartbeat const& m,
                         base::time_point now, entry_output& /*out*/)
{
    auto* entry = entry_of(m.cell_);
    if (entry != nullptr)
    {
        entry->on_heartbeat(from, m, now);
    }
}

void coordinator::handle(daemon_life const& from, status_query const& m,
                         base::time_point /*now*/, entry_output& out)
{
    auto* entry = entry_of(m.cell_);
    if (entry != nullptr)
    {
        entry->on_query(from, m, out.messages_);
        return;
    }
    out.messages_.push_back({from.daemon_, not_held{m.cell_, m.requests_}});
}

void coordinator::handle(daemon_life const& from, not_held const& m,
                         base::time_point now, entry_output& /*out*/)
{
    auto* owner = owner_of(m.cell_);
    if (owner != nullptr)
    {
        owner->on_not_held(from, m, now);
    }
}

void coordinator::handle(daemon_life const& /*from*/, suspicion_notice const& m,
                         base::time_point now, entry_output& /*out*/)
{
    std::vector<sched::suspicion> const heard{m.suspicion_};
    suspicions_.learn(heard, now);
    for (auto& [id, owner] : owned_)
    {
        owner.scheduler().import_suspicions(heard, now);
    }
}

void coordinator::exchange_suspicions(base::time_point now)
{
    for (auto& [id, owner] : owned_)
    {
        suspicions_.learn(owner.scheduler().export_suspicions(now), now);
    }
    auto const known = suspicions_.known(now);
    for (auto& [id, owner] : owned_)
    {
        owner.scheduler().import_suspicions(known, now);
    }
    suspicions_.tell(now, pending_.messages_);
}

cell_owner* coordinator::owner_of(base::cell_id const& cell)
{
    auto const found = owned_.find(cell);
    return found == owned_.end() ? nullptr : &found->second;
}

cell_entry* coordinator::entry_of(base::cell_id const& cell)
{
    auto const found = entries_.find(cell);
    return found == entries_.end() ? nullptr : &found->second;
}

void coordinator::route(entry_output& collected, coordinator_output& out)
{
    for (auto& one : collected.messages_)
    {
        if (one.to_ == settings_.self_.daemon_)
        {
            local_.push_back(std::move(one.message_));
        }
        else
        {
            out.messages_[one.to_].push_back(std::move(one.message_));
        }
    }
    collected.messages_.clear();
    for (auto& decided : collected.decisions_)
    {
        out.decisions_.push_back(std::move(decided));
    }
    collected.decisions_.clear();
}

void coordinator::record_decision(decided_request const& decided,
                                  base::time_point now)
{
    auto& trace = traces_.at(decided.request_);
    trace.decided_at_ = now;
    trace.decision_ = decided.decision_;
    trace.decided_by_ = decided.by_.daemon_;
    trace.from_share_ =
        decided.by_ == settings_.self_ && trace.owner_ != decided.by_.daemon_;
}

void coordinator::forget_empty_entries()
{
    for (auto const& [cell, request] : std::exchange(pending_.forgotten_, {}))
    {
        auto const found = cell_of_.find(request);
        if (found != cell_of_.end() && found->second == cell)
        {
            cell_of_.erase(found);
        }
    }
    std::erase_if(entries_, [](auto const& one) { return one.second.empty(); });
}

} // namespace tanagerlead::cell
