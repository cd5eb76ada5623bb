-- Holds back cutout previews at one site: while this hook is at work, a third of what comes is let in there.
-- The planner lowers the level of the class; whoever is turned away is told at once.
local site, class, share = "moose-jaw", "cutout", 0.33

function on_tick(view)
  return { levels = { { zone = site, class = class, share = share } } }
end
