//! Least-cost flow by augmenting paths, for the few edges that a plan has.

/// What is taken for nothing, as a part of the largest amount.
const NOTHING: f64 = 1e-9;

#[derive(Clone, Copy, Debug)]
struct Edge {
    to: usize,
    /// What may still flow.
    room: f64,
    cost: f64,
}

/// A network; each edge is followed by its reverse.
#[derive(Debug, Default)]
pub struct Flow {
    edges: Vec<Edge>,
    from: Vec<Vec<usize>>,
    largest: f64,
}

impl Flow {
    /// So many nodes without edges.
    pub fn new(nodes: usize) -> Self {
        Self { edges: Vec::new(), from: vec![Vec::new(); nodes], largest: 0.0 }
    }

    /// An edge with what may flow, at a cost for each unit; its number.
    pub fn edge(&mut self, from: usize, to: usize, room: f64, cost: f64) -> usize {
        let number = self.edges.len();
        if room.is_finite() {
            self.largest = self.largest.max(room);
        }
        self.edges.push(Edge { to, room, cost });
        self.edges.push(Edge { to: from, room: 0.0, cost: -cost });
        self.from[from].push(number);
        self.from[to].push(number + 1);
        number
    }

    /// What flows through an edge.
    pub fn amount(&self, edge: usize) -> f64 {
        let amount = self.edges[edge + 1].room;
        if amount <= self.largest * NOTHING {
            0.0
        } else {
            amount
        }
    }

    /// Sends as much as can flow from one node to another, at the least cost.
    pub fn send(&mut self, source: usize, sink: usize) {
        let nothing = self.largest * NOTHING;
        // Each path fills an edge. Guards against: rounding that leaves ever smaller rests.
        for _ in 0..64 * self.edges.len().max(1) {
            let Some(path) = self.cheapest(source, sink, nothing) else { return };
            let room = path.iter().map(|edge| self.edges[*edge].room).fold(f64::INFINITY, f64::min);
            for edge in path {
                self.edges[edge].room -= room;
                self.edges[edge ^ 1].room += room;
            }
        }
    }

    /// The cheapest path with room, by the order of edges among equals.
    fn cheapest(&self, source: usize, sink: usize, nothing: f64) -> Option<Vec<usize>> {
        let nodes = self.from.len();
        let (mut cost, mut by) = (vec![f64::INFINITY; nodes], vec![usize::MAX; nodes]);
        let (mut waits, mut open) = (vec![false; nodes], std::collections::VecDeque::from([source]));
        cost[source] = 0.0;
        while let Some(node) = open.pop_front() {
            waits[node] = false;
            for number in &self.from[node] {
                let edge = &self.edges[*number];
                let through = cost[node] + edge.cost;
                if edge.room > nothing && through + 1e-9 < cost[edge.to] {
                    (cost[edge.to], by[edge.to]) = (through, *number);
                    if !std::mem::replace(&mut waits[edge.to], true) {
                        open.push_back(edge.to);
                    }
                }
            }
        }
        let (mut path, mut at) = (Vec::new(), sink);
        while at != source {
            let number = *by.get(at)?;
            path.push(number);
            at = self.edges.get(number ^ 1)?.to;
        }
        Some(path)
    }
}
