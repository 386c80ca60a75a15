#include "policy/zone/zone.h"

#include <algorithm>

namespace magnolia::policy {

bool applyZone(ZoneView &View, const ZoneRecord &Record, TimePoint Now) {
  if (Record.Revision <= View.Record.Revision) {
    return false;
  }
  if (View.Record.Out && !Record.Out) {
    View.ReturnedAt = Now;
  }
  View.Record = Record;
  return true;
}

bool isOut(const ZoneView &View) { return View.Record.Out; }

double zoneWeight(const ZoneView &View, TimePoint Now, Duration Ramp) {
  if (isOut(View)) {
    return 0.0;
  }
  if (!View.ReturnedAt || Ramp <= Duration::zero()) {
    return 1.0;
  }
  const double Elapsed = static_cast<double>((Now - *View.ReturnedAt).count()) /
                         static_cast<double>(Ramp.count());
  return ZoneReturnFirstWeight +
         (1.0 - ZoneReturnFirstWeight) * std::clamp(Elapsed, 0.0, 1.0);
}

} // namespace magnolia::policy
