#ifndef POLICY_LEDGER_INTERNAL_EXPIRING_TABLE_H
#define POLICY_LEDGER_INTERNAL_EXPIRING_TABLE_H

#include "policy/core/types.h"

#include <bit>
#include <vector>

namespace magnolia::policy::internal {

// Hash table of bounded size whose entries are removed in the order of
// insertion. Entries are stored in a ring buffer; an open-addressing index with
// linear probing refers to it. The table doubles its size up to the maximum and
// allocates at no other time.
template <typename Key, typename Hash, typename Value> class ExpiringTable {
public:
  struct Entry {
    Key Id{};
    Value Data{};
    TimePoint Since{};
  };

  explicit ExpiringTable(std::size_t MaxEntries) : Max(MaxEntries) {}

  [[nodiscard]] std::size_t size() const { return Count; }
  [[nodiscard]] std::size_t capacity() const { return Max; }
  [[nodiscard]] bool full() const { return Count >= Max; }
  [[nodiscard]] std::size_t bytes() const {
    return Ring.capacity() * sizeof(Entry) +
           Slots.capacity() * sizeof(std::uint32_t);
  }

  // Returns the value of the key, or null.
  [[nodiscard]] const Value *find(const Key &Id) const {
    const std::size_t Slot = slotOf(Id);
    return Slot == NoSlot ? nullptr : &Ring[Slots[Slot] - 1].Data;
  }
  [[nodiscard]] Value *find(const Key &Id) {
    const std::size_t Slot = slotOf(Id);
    return Slot == NoSlot ? nullptr : &Ring[Slots[Slot] - 1].Data;
  }

  // Adds a key that is not in the table. Returns false if the table is full.
  bool insert(const Key &Id, const Value &Data, TimePoint Now) {
    if (full()) {
      return false;
    }
    if (Count == Ring.size()) {
      grow();
    }
    const std::size_t Position = (Head + Count) & (Ring.size() - 1);
    Ring[Position] = Entry{Id, Data, Now};
    ++Count;
    link(Position);
    return true;
  }

  // Returns the oldest entry; the table must not be empty.
  [[nodiscard]] const Entry &front() const { return Ring[Head]; }

  // Removes the oldest entry.
  void popFront() {
    unlink(slotOf(Ring[Head].Id));
    Head = (Head + 1) & (Ring.size() - 1);
    --Count;
  }

private:
  static constexpr std::size_t NoSlot = static_cast<std::size_t>(-1);
  static constexpr std::size_t FirstSize = 64;

  [[nodiscard]] std::size_t homeSlot(const Key &Id) const {
    return Hash{}(Id) & (Slots.size() - 1);
  }

  [[nodiscard]] std::size_t slotOf(const Key &Id) const {
    if (Slots.empty()) {
      return NoSlot;
    }
    std::size_t Slot = homeSlot(Id);
    while (Slots[Slot] != 0) {
      if (Ring[Slots[Slot] - 1].Id == Id) {
        return Slot;
      }
      Slot = (Slot + 1) & (Slots.size() - 1);
    }
    return NoSlot;
  }

  void link(std::size_t Position) {
    std::size_t Slot = homeSlot(Ring[Position].Id);
    while (Slots[Slot] != 0) {
      Slot = (Slot + 1) & (Slots.size() - 1);
    }
    Slots[Slot] = static_cast<std::uint32_t>(Position + 1);
  }

  // Empties a slot and shifts later entries of the same probe sequence back, so
  // that no lookup stops early.
  void unlink(std::size_t Hole) {
    const std::size_t Mask = Slots.size() - 1;
    std::size_t Next = Hole;
    while (true) {
      Next = (Next + 1) & Mask;
      if (Slots[Next] == 0) {
        break;
      }
      const std::size_t Home = homeSlot(Ring[Slots[Next] - 1].Id);
      if (((Next - Home) & Mask) >= ((Next - Hole) & Mask)) {
        Slots[Hole] = Slots[Next];
        Hole = Next;
      }
    }
    Slots[Hole] = 0;
  }

  void grow() {
    const std::size_t Size = Ring.empty()
                                 ? std::min(FirstSize, std::bit_ceil(Max))
                                 : Ring.size() * 2;
    std::vector<Entry> Larger(Size);
    for (std::size_t I = 0; I < Count; ++I) {
      Larger[I] = Ring[(Head + I) & (Ring.size() - 1)];
    }
    Ring = std::move(Larger);
    Head = 0;
    Slots.assign(Size * 2, 0);
    for (std::size_t I = 0; I < Count; ++I) {
      link(I);
    }
  }

  std::size_t Max;
  std::vector<Entry> Ring;
  // Position in Ring plus one; 0 means empty.
  std::vector<std::uint32_t> Slots;
  std::size_t Head = 0;
  std::size_t Count = 0;
};

} // namespace magnolia::policy::internal

#endif
