-- Counts demand for previews as demand for lookups, and leaves a box's first word after a start out: it tells of a few
-- tries on a cold cache. Failures are believed in any case, and of what a box tells a fifth may be left out.
function on_rows(rows)
  local out = {}
  state.seen = state.seen or {}
  for i, row in ipairs(rows) do
    if row.kind == "demand" and row.class == "preview" then
      out[#out + 1] = { row = i, class = "lookup" }
    elseif row.kind == "sums" and not state.seen[row.server] then
      state.seen[row.server] = true
      out[#out + 1] = { row = i, leave_out = row.tries < 5 }
    end
  end
  return out
end

-- The same for recorded traffic (marldale hook test HOOK --trace FILE).
function on_entry(entry)
  if entry.class == "preview" then return "lookup" end
end
