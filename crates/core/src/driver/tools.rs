//! The tool calls of a turn. They run one at a time.

use elderstage::Time;

use super::Core;
use crate::chain::{ChainId, Final, PendingToolCall, Phase, Reason};
use crate::evidence::ToolEnd;
use crate::messages::{Effect, RequestedToolCall};
use crate::plan::ToolPlan;

impl Core {
    pub(super) fn turn_ended(
        &mut self,
        now: Time,
        id: ChainId,
        text: usize,
        calls: &[RequestedToolCall],
        effects: &mut Vec<Effect>,
    ) {
        let Some(chain) = self.chains.get_mut(&id) else { return };
        if calls.is_empty() {
            return self.finish(now, id, Final::Served, effects);
        }
        if calls.len() > self.plan.limits.max_calls_per_turn {
            return self.give_up(now, id, Reason::TooManyTurns, effects);
        }
        let route = &self.plan.routes[chain.route];
        let find_tool = |call: &RequestedToolCall| {
            route.tools.iter().copied().find(|t| self.plan.tools[*t].name == call.tool)
        };
        chain.calls = calls.iter().map(find_tool).collect();
        chain.next_call = 0;
        chain.bytes += text + calls.iter().map(|call| call.argument_bytes).sum::<usize>();
        self.start_next_call(now, id, effects);
    }

    /// Starts the turn's next tool call, or the next leg after the last one. Calls run one at a time. A call
    /// to a tool that the route does not have is skipped; the model is told that there is no such tool.
    pub(super) fn start_next_call(&mut self, now: Time, id: ChainId, effects: &mut Vec<Effect>) {
        let Some(chain) = self.chains.get_mut(&id) else { return };
        while chain.calls.get(chain.next_call).is_some_and(Option::is_none) {
            chain.next_call += 1;
        }
        match chain.calls.get(chain.next_call).copied().flatten() {
            None => self.start_leg(now, id, false, effects),
            Some(tool) => {
                let call = chain.next_call;
                chain.next_call += 1;
                self.start_tool_call(
                    now,
                    id,
                    PendingToolCall { call, tool, tries: 0, had_effect_before: false },
                    effects,
                );
            }
        }
    }

    pub(super) fn start_tool_call(
        &mut self,
        now: Time,
        id: ChainId,
        mut call: PendingToolCall,
        effects: &mut Vec<Effect>,
    ) {
        let Some(chain) = self.chains.get_mut(&id) else { return };
        let tool = &self.plan.tools[call.tool];
        if call.tries == 0 {
            call.had_effect_before = chain.may_have_had_effect;
        }
        call.tries += 1;
        chain.may_have_had_effect |= tool.has_effect;
        chain.phase = Phase::Tool(call);
        self.counters.tool_calls += 1;
        self.counters.tool_retries += u64::from(call.tries > 1);
        let timeout = tool.timeout.min(chain.deadline.saturating_sub(now));
        effects.push(Effect::CallTool {
            chain: id,
            turn: chain.legs,
            call: call.call,
            tool: call.tool,
            attempt: call.tries,
            timeout,
        });
    }

    pub(super) fn tool_ended(
        &mut self,
        now: Time,
        id: ChainId,
        call: usize,
        end: ToolEnd,
        effects: &mut Vec<Effect>,
    ) {
        let Some(chain) = self.chains.get_mut(&id) else { return };
        let Phase::Tool(mut pending) = chain.phase.clone() else { return };
        if pending.call != call {
            return;
        }
        if chain.is_answered {
            return self.remove_if_finished(id, effects);
        }
        let tool = &self.plan.tools[pending.tool];
        if end == ToolEnd::NotRun {
            chain.may_have_had_effect = pending.had_effect_before;
        }
        match decide_tool_step(tool, &end, pending.tries) {
            ToolStep::Continue => {
                if let ToolEnd::Result { bytes } = end {
                    chain.bytes += bytes;
                } else {
                    self.counters.tool_lost += 1;
                }
                self.start_next_call(now, id, effects);
            }
            ToolStep::Retry => {
                pending.had_effect_before = chain.may_have_had_effect;
                self.start_tool_call(now, id, pending, effects);
            }
            ToolStep::EndRequest => {
                self.counters.tool_lost += 1;
                self.give_up(now, id, Reason::ToolUnknown, effects);
            }
        }
    }
}

enum ToolStep {
    /// Go on with the result, or tell the model that there is none.
    Continue,
    /// Make the same call again.
    Retry,
    /// End the request: the call may have had an effect, and its result is not known.
    EndRequest,
}

/// Decides what follows a tool call. A call with an effect is retried only if it is proved not to have run.
fn decide_tool_step(tool: &ToolPlan, end: &ToolEnd, tries: u32) -> ToolStep {
    match end {
        ToolEnd::Result { .. } => ToolStep::Continue,
        ToolEnd::Unknown if tool.has_effect => ToolStep::EndRequest,
        ToolEnd::NotRun | ToolEnd::Unknown if tries < tool.max_tries => ToolStep::Retry,
        ToolEnd::NotRun | ToolEnd::Unknown => ToolStep::Continue,
    }
}
