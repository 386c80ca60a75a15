#ifndef POLICY_ADMISSION_FWD_H
#define POLICY_ADMISSION_FWD_H

#include <cstdint>

namespace magnolia::policy {

enum class AdmissionAction : std::uint8_t;
struct AdmissionDecision;
struct AdmissionOptions;
struct AdmissionQuery;
struct AdmissionState;
struct ArrivalWindow;
struct ColdPace;
struct Completion;
struct Expiry;
struct Waiter;

} // namespace magnolia::policy

#endif
