// Choice of faults and the JSON form of their settings.
#include "StandIns/Common/FaultInjector.h"

#include "Store.capnp.h"
#include "Store/JsonCodec.h"

#include <cmath>

namespace Berylport {

namespace {

bool isRate(double value) { return value >= 0 && value <= 1; }
bool isThroughput(double value) { return std::isfinite(value) && value > 0; }

} // namespace

std::optional<FaultSettings> decodeFaultSettings(std::string_view json)
{
    FaultSettings settings;
    bool isValid = Json::decode<StoreSchema::FaultControl>(json, [&](auto in) {
        settings = { .down = static_cast<DownMode>(in.getDown()),
            .slow = std::chrono::milliseconds(in.getSlowMs()),
            .dropNext = in.getDropNext(),
            .dropRate = in.getDropRate(),
            .lateRate = in.getLateRate(),
            .late = std::chrono::milliseconds(in.getLateMs()),
            .isAppliedLate = in.getIsAppliedLate(),
            .writesPerSecond = in.getWritesPerSecond(),
            .readsPerSecond = in.getReadsPerSecond() };
    });
    isValid = isValid && isRate(settings.dropRate) && isRate(settings.lateRate)
        && isThroughput(settings.writesPerSecond) && isThroughput(settings.readsPerSecond);
    if (!isValid)
        return std::nullopt;
    return settings;
}

std::string encodeFaultSettings(const FaultSettings& settings)
{
    return Json::encode<StoreSchema::FaultControl>([&](auto out) {
        out.setDown(static_cast<StoreSchema::FaultControl::Down>(settings.down));
        out.setSlowMs(static_cast<uint32_t>(toMilliseconds(settings.slow)));
        out.setDropNext(settings.dropNext);
        out.setDropRate(settings.dropRate);
        out.setLateRate(settings.lateRate);
        out.setLateMs(static_cast<uint32_t>(toMilliseconds(settings.late)));
        out.setIsAppliedLate(settings.isAppliedLate);
        out.setWritesPerSecond(settings.writesPerSecond);
        out.setReadsPerSecond(settings.readsPerSecond);
    });
}

std::string encodeCounters(const StoreCounters& counters)
{
    return Json::encode<StoreSchema::StoreCounters>([&](auto out) {
        out.setReads(counters.reads);
        out.setWrites(counters.writes);
        out.setRowsWritten(counters.rowsWritten);
        out.setRepeatedTokens(counters.repeatedTokens);
        out.setConflicts(counters.conflicts);
        out.setThrottled(counters.throttled);
        out.setDropped(counters.dropped);
        out.setRefused(counters.refused);
        out.setMalformed(counters.malformed);
    });
}

std::optional<StoreCounters> decodeCounters(std::string_view json)
{
    StoreCounters counters;
    bool isValid = Json::decode<StoreSchema::StoreCounters>(json, [&](auto in) {
        counters = { .reads = in.getReads(),
            .writes = in.getWrites(),
            .rowsWritten = in.getRowsWritten(),
            .repeatedTokens = in.getRepeatedTokens(),
            .conflicts = in.getConflicts(),
            .throttled = in.getThrottled(),
            .dropped = in.getDropped(),
            .refused = in.getRefused(),
            .malformed = in.getMalformed() };
    });
    if (!isValid)
        return std::nullopt;
    return counters;
}

void FaultInjector::set(const FaultSettings& settings)
{
    m_settings = settings;
    m_writes = WriteBudget({ .fleetWritesPerSecond = settings.writesPerSecond });
    m_reads = WriteBudget({ .fleetWritesPerSecond = settings.readsPerSecond });
}

FaultDecision FaultInjector::decide(Instant now, bool isWrite, StoreCounters& counters)
{
    FaultDecision decision;
    if (m_settings.down != DownMode::Up) {
        ++counters.refused;
        decision.isRefused = true;
        return decision;
    }
    auto& budget = isWrite ? m_writes : m_reads;
    if (!budget.take(now)) {
        ++counters.throttled;
        decision.throttledFor = budget.waitTime(now);
        return decision;
    }
    ++(isWrite ? counters.writes : counters.reads);
    decision.answerDelay = m_settings.slow;
    if (m_random.chance(m_settings.lateRate)) {
        decision.answerDelay += m_settings.late;
        if (m_settings.isAppliedLate)
            decision.applyDelay = m_settings.late;
    }
    if (!isWrite)
        return decision;
    if (m_settings.dropNext) {
        --m_settings.dropNext;
        decision.dropsAnswer = true;
    } else {
        decision.dropsAnswer = m_random.chance(m_settings.dropRate);
    }
    counters.dropped += decision.dropsAnswer;
    return decision;
}

} // namespace Berylport
