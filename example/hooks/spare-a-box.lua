-- Spares a box that is being looked at: half its weight for ten minutes, then as before. What the zone can't spare
-- is not taken, whatever stands here.
local box, seconds = "s-5be2a07c", 600

function on_tick(view)
  state.since = state.since or view.time
  if view.time - state.since > seconds then
    return {}
  end
  return { boxes = { { server = box, weight = 0.5 } }, log = { box .. " is spared" } }
end

-- The next version goes on counting from where this one began.
function migrate(old)
  return { since = old.since }
end
